package berylprocess

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of the processor times in /proc/<pid>/stat; it is 10 ms on every Linux platform of Go.
const clockTick = 10 * time.Millisecond

// The places of the fields in /proc/<pid>/stat, counted from the one after the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// Usage is what a process has used so far.
type Usage struct {
	CPU time.Duration
	// ResidentKB and PeakKB are the present and the highest resident memory in KiB.
	ResidentKB int64
	PeakKB     int64
	// PrivateKB is the part of the resident memory that is not backed by files such as the program itself.
	PrivateKB int64
	// BytesIn and BytesOut count what the process has read and written, over connections and files.
	BytesIn  int64
	BytesOut int64
}

// Usage reads what the process has used from /proc.
func (p *Process) Usage() (Usage, error) {
	var u Usage
	stat, err := os.ReadFile(p.proc("stat"))
	if err != nil {
		return u, eris.Wrapf(err, "usage of %s", p.Name)
	}
	if u.CPU, err = parseCPU(stat); err != nil {
		return u, eris.Wrapf(err, "usage of %s", p.Name)
	}
	status, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return u, eris.Wrapf(err, "usage of %s", p.Name)
	}
	u.ResidentKB, u.PeakKB = field(status, "VmRSS:"), field(status, "VmHWM:")
	u.PrivateKB = field(status, "RssAnon:")
	io, err := os.ReadFile(p.proc("io"))
	if err != nil {
		return u, eris.Wrapf(err, "usage of %s", p.Name)
	}
	u.BytesIn, u.BytesOut = field(io, "rchar:"), field(io, "wchar:")
	return u, nil
}

// ResetPeak makes the present resident memory the peak.
func (p *Process) ResetPeak() error {
	const resetPeak = "5"
	return eris.Wrapf(os.WriteFile(p.proc("clear_refs"), []byte(resetPeak), 0), "reset peak of %s", p.Name)
}

func (p *Process) proc(file string) string { return fmt.Sprintf("/proc/%d/%s", p.PID(), file) }

func parseCPU(stat []byte) (time.Duration, error) {
	// The name may hold spaces and ends at the last parenthesis.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystemTime {
		return 0, eris.New("stat has too few fields")
	}
	var ticks int64
	for _, n := range []int{statUserTime, statSystemTime} {
		t, err := strconv.ParseInt(fields[n], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "processor time")
		}
		ticks += t
	}
	return time.Duration(ticks) * clockTick, nil
}

// field returns the number after the name at the start of a line.
func field(text []byte, name string) int64 {
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return n
		}
	}
	return 0
}

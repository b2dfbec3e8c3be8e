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

// clockTick is the unit of the processor times in /proc/<pid>/stat; it is 10 ms on every Linux platform that Go supports.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/<pid>/stat, counted from the first field after the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// Usage is the processor time, the memory and the transfers of a process.
type Usage struct {
	CPU time.Duration
	// ResidentKB and PeakKB are the current and the highest resident memory in KiB.
	ResidentKB int64
	PeakKB     int64
	// PrivateKB is the part of the resident memory in KiB that is not backed by files such as the program itself.
	PrivateKB int64
	// BytesIn and BytesOut are the bytes that the process has read and written, on connections and in files.
	BytesIn  int64
	BytesOut int64
}

// Usage reads the usage of the process from /proc.
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
	u.ResidentKB, u.PeakKB = numberAfter(status, "VmRSS:"), numberAfter(status, "VmHWM:")
	u.PrivateKB = numberAfter(status, "RssAnon:")
	ioStat, err := os.ReadFile(p.proc("io"))
	if err != nil {
		return u, eris.Wrapf(err, "usage of %s", p.Name)
	}
	u.BytesIn, u.BytesOut = numberAfter(ioStat, "rchar:"), numberAfter(ioStat, "wchar:")
	return u, nil
}

// ResetPeak sets the peak of the resident memory to its current size.
func (p *Process) ResetPeak() error {
	const resetPeak = "5"
	return eris.Wrapf(os.WriteFile(p.proc("clear_refs"), []byte(resetPeak), 0), "reset peak of %s", p.Name)
}

func (p *Process) proc(file string) string { return fmt.Sprintf("/proc/%d/%s", p.PID(), file) }

func parseCPU(stat []byte) (time.Duration, error) {
	// The program's name may contain spaces and parentheses; it ends at the last closing parenthesis.
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

// numberAfter returns the number after the name at the start of a line, or 0 if there is none.
func numberAfter(text []byte, name string) int64 {
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return n
		}
	}
	return 0
}

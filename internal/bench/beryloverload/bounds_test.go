package beryloverload

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"gotest.tools/v3/assert"
)

// peaks is what a process used at most since it was watched.
type peaks struct {
	process *berylprocess.Process
	// fds is the largest number of open descriptors that was seen.
	fds atomic.Int64
	// memoryKB is the most memory that was seen, with the bytes that the system has received for the process; these count towards the
	// memory of its machine.
	memoryKB atomic.Int64
}

// watch looks at a process until ctx ends. It must listen on an IP address of its own.
func (p *peaks) watch(ctx context.Context, process *berylprocess.Process, ips ...string) {
	p.process = process
	every(ctx, 20*time.Millisecond, func(n int) {
		if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.PID())); err == nil {
			p.fds.Store(max(p.fds.Load(), int64(len(fds))))
		}
		if n%5 == 0 {
			if u, err := process.Usage(); err == nil {
				p.memoryKB.Store(max(p.memoryKB.Load(), u.ResidentKB+unreadBytes(ips)>>10))
			}
		}
	})
}

// unreadBytes returns how many bytes the system has received on the addresses that no process has read.
func unreadBytes(ips []string) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var locals []string
	for _, ip := range ips {
		b := net.ParseIP(ip).To4()
		slices.Reverse(b)
		locals = append(locals, strings.ToUpper(hex.EncodeToString(b)))
	}
	total := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const local, state, queues = 1, 3, 4
		if len(fields) <= queues || fields[state] == listening {
			continue
		}
		ip, _, _ := strings.Cut(fields[local], ":")
		_, received, _ := strings.Cut(fields[queues], ":")
		var n int64
		if _, err := fmt.Sscanf(received, "%X", &n); err == nil && slices.Contains(locals, ip) {
			total += n
		}
	}
	return total
}

// listening is the state of a listener in /proc/net/tcp, whose queue counts connections.
const listening = "0A"

// check checks the peaks.
func (p *peaks) check(t *testing.T) {
	t.Helper()
	u, err := p.process.Usage()
	assert.NilError(t, err)
	fds, memory := p.fds.Load(), p.memoryKB.Load()
	t.Logf("peak memory %.1f MB, %.1f MB with unread bytes, peak descriptors %d", float64(u.PeakKB)/1024, float64(memory)/1024, fds)
	assert.Check(t, u.PeakKB <= memoryMB<<10, "the peak resident set is %d KB", u.PeakKB)
	assert.Check(t, memory <= memoryMB<<10, "memory and unread bytes are %d KB", memory)
	assert.Check(t, fds <= maxFDs-reservedFDs, "%d descriptors were open", fds)
}

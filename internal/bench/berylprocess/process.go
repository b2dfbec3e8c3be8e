package berylprocess

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is one running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Run starts a program with its output in <dir>/<name>.log.
func Run(dir, name, program string, args ...string) (*Process, error) {
	out, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log file")
	}
	// The process outlives the call; Stop or Kill ends it.
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return nil, eris.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
		_ = out.Close()
	}()
	return p, nil
}

// Kill ends the process without notice.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks for a graceful shutdown and returns how the process ended.
func (p *Process) Terminate() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.done
	return p.err
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// addresses counts the addresses that this program has handed out.
var addresses atomic.Uint32

// FreeAddress returns a loopback address that nothing listens on. Each one has an IP address of its own, since outgoing
// connections take ports of 127.0.0.1 between the choice and the use of an address.
func FreeAddress() (string, error) {
	const perByte = 250
	n := int(addresses.Add(1))
	ip := net.IPv4(127, byte(1+os.Getpid()%perByte), byte(1+n/perByte%perByte), byte(1+n%perByte))
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// pollInterval is how often WaitFor asks.
const pollInterval = 50 * time.Millisecond

// WaitFor polls the URL until it answers 200 or ctx ends.
func WaitFor(ctx context.Context, url string) error { return WaitForStatus(ctx, url, http.StatusOK) }

// WaitForStatus polls the URL until it answers with the status or ctx ends.
func WaitForStatus(ctx context.Context, url string, status int) error {
	for {
		if get(ctx, url) == status {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for %s", url)
		case <-time.After(pollInterval):
		}
	}
}

// get returns the status of the answer, 0 if there is none.
func get(ctx context.Context, url string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

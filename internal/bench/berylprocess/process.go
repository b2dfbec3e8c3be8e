package berylprocess

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Process is a program that was started by Run.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// done is closed when the process has ended; err is then the result of waiting for it.
	done chan struct{}
	err  error
}

// Run starts a program and writes its output to <dir>/<name>.log.
func Run(dir, name, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log file")
	}
	// The process must outlive the caller's context; Kill or Terminate ends it.
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return nil, eris.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
		_ = logFile.Close()
	}()
	return p, nil
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM, waits until the process has ended and returns an error unless it exited with 0.
func (p *Process) Terminate() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.done
	return p.err
}

// Freeze suspends the process until Thaw. It returns once all threads of the process stand still.
func (p *Process) Freeze() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	for {
		// The state stays to be read, since the process is waited for elsewhere.
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// Thaw resumes a frozen process.
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

// addressCount counts the addresses that this program has handed out.
var addressCount atomic.Uint32

// FreeAddress returns a loopback address that nothing listens on. Each one has an IP address of its own, since an outgoing
// connection could take the port on 127.0.0.1 before the address is used.
func FreeAddress() (string, error) {
	const perByte = 250
	n := int(addressCount.Add(1))
	ip := net.IPv4(127, byte(1+os.Getpid()%perByte), byte(1+n/perByte%perByte), byte(1+n%perByte))
	var cfg net.ListenConfig
	ln, err := cfg.Listen(context.Background(), "tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// pollInterval is the pause between two polls of WaitForStatus.
const pollInterval = 50 * time.Millisecond

// WaitFor polls the URL until it answers with 200 or ctx ends.
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

// get returns the status of the answer, or 0 if there is none.
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

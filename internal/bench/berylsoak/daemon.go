package berylsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
)

// The ports of a daemon. Each daemon has an IP address of its own.
const (
	callersPort   = 18340
	readinessPort = 18343
	internalPort  = 17000
)

func daemonName(n int) string { return fmt.Sprintf("n%d", n) }

// daemon is a process under test. After it has ended it can be started again under the same name and address.
type daemon struct {
	program, dir string
	ip           string
	name         string
	// store is the address at which the daemon reaches the store; instances is the address of the instance interface.
	store     string
	instances string
	// network and peerAddress are set in a soak with cuts: peerAddress is the link before the daemon.
	network     *network
	peerAddress string

	mu sync.Mutex
	// cmd is nil while the process does not run.
	cmd *exec.Cmd
	// closed is true after shutDown: the process must not be started again.
	closed bool
	// done is closed when the process has ended.
	done chan struct{}
}

func (d *daemon) settings() string {
	return berylfleet.Settings{
		Node: d.name, IP: d.ip, CallersPort: callersPort, ReadinessPort: readinessPort, InternalPort: internalPort,
		StoreAddress: d.store, InstancesAddress: d.instances,
	}.YAML()
}

// logPath returns the path of the daemon's log, which its processes continue.
func (d *daemon) logPath() string { return filepath.Join(d.dir, d.name+".log") }

// start starts the process unless it runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil || d.closed {
		return nil
	}
	path := filepath.Join(d.dir, d.name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(d.logPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := []string{"--settings=" + path}
	if d.network != nil {
		args = append(args, "--source-address="+d.ip, "--peer-address="+d.peerAddress)
	}
	cmd := exec.Command(d.program, args...) //nolint:noctx // The soak ends it by signals.
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close() // Nothing was written.
		return err
	}
	d.recordRunning(true)
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go func() {
		_ = cmd.Wait() // The soak ends the process by a signal, which is reported as an error.
		_ = out.Close()
		d.mu.Lock()
		d.cmd = nil
		d.recordRunning(false)
		d.mu.Unlock()
		close(done)
	}()
	return nil
}

func (d *daemon) recordRunning(running bool) {
	if d.network != nil {
		d.network.setDown(d.name, !running)
	}
}

// signal sends a signal to the process, if it runs, and returns a channel that is closed when that process has ended.
func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // It may have ended meanwhile.
	}
	return d.done
}

// shutDown kills the process and waits for its end; it is not started again.
func (d *daemon) shutDown() {
	d.mu.Lock()
	d.closed = true
	done := d.done
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	if done != nil {
		select {
		case <-done:
		case <-time.After(5 * time.Second):
		}
	}
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// node is a process of the system.
type node struct {
	Name, IP                                string
	StatusS                                 int
	Port, ReadyPort, InternalPort, LastPort int
	Store, Machines                         string
	program, dir                            string
	record                                  *record
	mu                                      sync.Mutex
	cmd                                     *exec.Cmd
	ended                                   chan struct{}
	exits                                   []string
	asked                                   bool // True if the rig has sent a signal that ends it.
}

// newNode returns a node at a loopback address of its own with free ports.
func newNode(name, ip, store, machines, dir string, rec *record) (*node, error) {
	n := &node{Name: name, IP: ip, StatusS: 120, Store: store, Machines: machines, dir: dir, program: "target/beryljobd", record: rec}
	var free []int
	for range 2 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		free = append(free, ln.Addr().(*net.TCPAddr).Port)
		defer ln.Close()
	}
	n.Port, n.ReadyPort = free[0], free[1]
	for p := 17000; p < 17000+15*40; p += 15 {
		a, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			continue
		}
		b, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p+1))
		_ = a.Close()
		if err != nil {
			continue
		}
		_ = b.Close()
		n.InternalPort, n.LastPort = p, p+14
		return n, nil
	}
	return nil, fmt.Errorf("no free ports on %s", ip)
}

// starts passes the starts of processes to one thread that lasts as long as the rig: the system ends a process when the thread that started
// it ends, so that none is left if the rig is killed.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	var text bytes.Buffer
	if err := template.Must(template.New("").Parse(settingsText)).Execute(&text, n); err != nil {
		return err
	}
	path := filepath.Join(n.dir, n.Name+".yaml")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	var stderr bytes.Buffer
	cmd := exec.Command(n.program)
	cmd.Env = append([]string{"BERYLLATCH_CONFIG=" + path}, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"))
	cmd.Stdout, cmd.Stderr = out, &stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.asked = cmd, ended, false
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		n.mu.Lock()
		n.cmd = nil
		killed := false
		if s, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok {
			killed = s.Signaled() && s.Signal() == syscall.SIGKILL
		}
		if err != nil && !killed {
			n.exits = append(n.exits, fmt.Sprintf("%s: %v: %.600s", n.Name, err, stderr.String()))
			n.record.write("process %s ended by itself: %v: %.300q", n.Name, err, stderr.String())
		}
		n.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// stop ends the process at once.
func (n *node) stop() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (n *node) terminate() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		n.stop()
	}
}

// ready reports whether the node says that it is ready.
func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", n.IP, n.ReadyPort, wire["ready"]), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

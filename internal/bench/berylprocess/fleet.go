package berylprocess

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// operatorToken authenticates the operators' client at the daemons. It needs no secrecy, since they only listen on loopback.
const operatorToken = "loopback-only"

// startTimeout bounds the wait until a started process answers.
const startTimeout = 20 * time.Second

// Fleet holds the processes of a platform stand-in, stand-in workers and entry daemons on loopback.
type Fleet struct {
	// Bin is the directory of the built programs; Dir is that of their logs and other files.
	Bin string
	Dir string
	// DataCentres are assigned to the entry daemons in turn; the default is dc1 and dc2.
	DataCentres []string
	// PlatformProgram is the program of the platform stand-in; the default is that in Bin.
	PlatformProgram string
	// DaemonArgs holds further arguments for every entry daemon.
	DaemonArgs []string

	Platform *Process
	// Control and Balancer are the addresses of the platform's control listener and load balancer.
	Control  string
	Balancer string
	Daemons  []*Daemon
	Workers  []*Worker

	// Table is the address of the table service that daemons get. Change it between StartPlatform and StartDaemon to put
	// a proxy in front of the service.
	Table string

	objects   string
	instances string
}

// Daemon is one entry daemon. Its process is nil until StartDaemon.
type Daemon struct {
	*Process
	// Callers, Operators, Admin and peers are the addresses of its listeners.
	Callers   string
	Operators string
	Admin     string
	peers     string
	node      string
	dc        string
}

// Peers returns the address of the peers' listener.
func (d *Daemon) Peers() string { return d.peers }

// Worker is one running stand-in worker.
type Worker struct {
	*Process
	ID         string
	DataCentre string
	Rack       string
	Address    string
}

// StartPlatform starts the platform stand-in, with addresses for the given number of entry daemons.
func (f *Fleet) StartPlatform(daemons int) error {
	var flags []string
	for name, target := range map[string]*string{
		"table": &f.Table, "objects": &f.objects, "instances": &f.instances, "control": &f.Control, "balancer": &f.Balancer,
	} {
		addr, err := FreeAddress()
		if err != nil {
			return err
		}
		*target = addr
		flags = append(flags, "--"+name+"-addr="+addr)
	}
	for n := range daemons {
		d, err := f.newDaemon(n)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, d)
		flags = append(flags, fmt.Sprintf("--entry=%s=%s", d.Callers, d.Admin), fmt.Sprintf("--instance=%s=live", d.peers))
	}
	p, err := Run(f.Dir, "platform", cmp.Or(f.PlatformProgram, filepath.Join(f.Bin, "berylstandin")), append([]string{"platform"}, flags...)...)
	if err != nil {
		return err
	}
	f.Platform = p
	return nil
}

func (f *Fleet) newDaemon(n int) (*Daemon, error) {
	dcs := f.DataCentres
	if len(dcs) == 0 {
		dcs = []string{"dc1", "dc2"}
	}
	d := &Daemon{node: fmt.Sprintf("entry-%d", n+1), dc: dcs[n%len(dcs)]}
	for _, target := range []*string{&d.Callers, &d.Operators, &d.peers, &d.Admin} {
		addr, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*target = addr
	}
	return d, nil
}

// StartDaemon starts or restarts the daemon and waits until it is ready.
func (f *Fleet) StartDaemon(ctx context.Context, d *Daemon) error {
	hash := sha256.Sum256([]byte(operatorToken))
	args := append([]string{
		"--node=" + d.node, "--data-centre=" + d.dc, "--callers-address=" + d.Callers, "--operators-address=" + d.Operators,
		"--peers-address=" + d.peers, "--admin-address=" + d.Admin, "--table-endpoint=http://" + f.Table,
		"--object-endpoint=http://" + f.objects, "--instance-list=http://" + f.instances + "/instances",
		"--operator-tokens=harness:" + hex.EncodeToString(hash[:]),
	}, f.DaemonArgs...)
	p, err := Run(f.Dir, d.node, filepath.Join(f.Bin, "beryllatchd"), args...)
	if err != nil {
		return err
	}
	d.Process = p
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return WaitFor(ctx, "http://"+d.Admin+"/readyz")
}

// StartWorker starts a stand-in worker, adds it to Workers with its id, data centre and rack, and waits until it answers.
func (f *Fleet) StartWorker(ctx context.Context, id, dc, rack string, args ...string) (*Worker, error) {
	addr, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, DataCentre: dc, Rack: rack, Address: addr}
	w.Process, err = Run(
		f.Dir, id, filepath.Join(f.Bin, "berylstandin"), append([]string{"worker", "--listen=" + addr}, args...)...,
	)
	if err != nil {
		return nil, err
	}
	f.Workers = append(f.Workers, w)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return w, WaitFor(ctx, "http://"+addr+"/v1/status")
}

// Client runs the operators' client with the addresses of all daemons and returns its output.
func (f *Fleet) Client(ctx context.Context, args ...string) (string, error) {
	return f.ClientAt(ctx, f.Daemons, args...)
}

// ClientAt runs the operators' client with the addresses of the given daemons and returns its output.
func (f *Fleet) ClientAt(ctx context.Context, daemons []*Daemon, args ...string) (string, error) {
	token := filepath.Join(f.Dir, "operator-token")
	if err := os.WriteFile(token, []byte(operatorToken), 0o600); err != nil {
		return "", eris.Wrap(err, "write operator token")
	}
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, "http://"+d.Operators)
	}
	args = append([]string{"--address=" + strings.Join(addresses, ","), "--token-file=" + token}, args...)
	var stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(f.Bin, "beryllatch"), args...)
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return string(out), eris.Wrapf(err, "beryllatch %s: %s%s", strings.Join(args[2:], " "), out, stderr.String())
	}
	return string(out), nil
}

// Stop kills every process that still runs.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		if d.Process != nil && d.Running() {
			d.Thaw()
			d.Kill()
		}
	}
	for _, w := range f.Workers {
		if w.Running() {
			w.Kill()
		}
	}
	if f.Platform != nil && f.Platform.Running() {
		f.Platform.Kill()
	}
}

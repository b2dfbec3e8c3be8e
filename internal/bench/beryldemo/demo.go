package beryldemo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/rotisserie/eris"
)

const (
	// phaseTime is how long the load runs before, between and after the faults.
	phaseTime = 3 * time.Second
	// startGrace is how long work may still start in a data centre after the change that took it out of service was
	// confirmed: the tenure of a node that has lost contact (4 s), the start-by limit (1 s) and the allowance for clock
	// skew (500 ms).
	startGrace = 5500 * time.Millisecond
	// taskCount is the number of queued tasks that are submitted for each user.
	taskCount = 30
	// daemons is the number of entry nodes.
	daemons = 3
)

// User is one example user with two of its data centres.
type User struct {
	Name        string
	Answers     string
	DataCentres []string
	// RequestQueue receives the requests and TaskQueue the queued tasks. Each has a pool of the same name.
	RequestQueue string
	TaskQueue    string
}

// Users returns the example users whose answer files are in dir.
func Users(dir string) []User {
	return []User{
		{
			Name: "rimwise", Answers: filepath.Join(dir, "rimwise.json"), DataCentres: []string{"nairobi-1", "nairobi-2"},
			RequestQueue: "rim-quotes", TaskQueue: "hub-reconciliations",
		},
		{
			Name: "papelera", Answers: filepath.Join(dir, "papelera.json"), DataCentres: []string{"lima-1", "lima-2"},
			RequestQueue: "price-checks", TaskQueue: "stock-counts",
		},
	}
}

// ContradictionError reports replies to callers that contradict the workers' records.
type ContradictionError struct {
	User       string
	Violations []string
}

// Error lists the contradictions.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("%s: callers and workers disagree: %v", e.User, e.Violations)
}

// Run runs the fleet of one user with the programs in the directory bin. It prints the replies to callers and the
// workers' records, and returns a ContradictionError if they disagree.
func Run(ctx context.Context, w io.Writer, bin string, u User) error {
	dir, err := os.MkdirTemp("", "beryldemo")
	if err != nil {
		return eris.Wrap(err, "make directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &demo{u: u, w: w, fleet: berylprocess.Fleet{Bin: bin, Dir: dir, DataCentres: u.DataCentres}}
	defer d.fleet.Stop()
	return d.run(ctx)
}

// demo is the demonstration for one user.
type demo struct {
	u       User
	w       io.Writer
	fleet   berylprocess.Fleet
	secrets []string
	// tasks holds the ids of the accepted tasks.
	tasks []string
	// From outFrom to outTo, nothing may start in the first data centre, since it is out of service.
	outFrom, outTo time.Time
}

func (d *demo) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.start, d.configure, d.importInstances} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	load := berylprocess.StartLoad(ctx, d.u.Name, d.u.RequestQueue, d.callers(), "Beryllatch-Test-Run-Ms", "30")
	err := d.faults(ctx)
	replies := load.Stop()
	if err != nil {
		return err
	}
	states, err := d.awaitTasks(ctx)
	if err != nil {
		return err
	}
	return d.report(ctx, replies, states)
}

// printf prints a line that starts with the name of the user.
func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.w, "%-9s "+format+"\n", append([]any{d.u.Name}, args...)...)
}

// faults submits the tasks, kills a node, and takes a data centre out of service and brings it back.
func (d *demo) faults(ctx context.Context) error {
	time.Sleep(phaseTime)
	if err := d.submitTasks(ctx); err != nil {
		return err
	}
	d.printf("killing %s", d.fleet.Daemons[0].Name)
	d.fleet.Daemons[0].Kill()
	time.Sleep(phaseTime)
	dc := d.u.DataCentres[0]
	if _, err := d.fleet.Client(ctx, "dc", "out", dc); err != nil {
		return err
	}
	d.outFrom = time.Now().Add(startGrace)
	d.printf("data centre %s is out", dc)
	time.Sleep(startGrace + phaseTime)
	d.outTo = time.Now()
	if _, err := d.fleet.Client(ctx, "dc", "in", dc); err != nil {
		return err
	}
	d.printf("data centre %s is back", dc)
	time.Sleep(phaseTime)
	return nil
}

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
	// phaseTime is how long load runs before and after each fault.
	phaseTime = 3 * time.Second
	// outBound is how long after its confirmation work may still start in a data centre that was taken out: the tenure
	// of a silent node, the start-by limit and the clock allowance.
	outBound = 5500 * time.Millisecond
	// taskCount is the number of queued tasks that each user hands in.
	taskCount = 30
	daemons   = 3
)

// User is one example user with two of its data centres.
type User struct {
	Name        string
	Answers     string
	DataCentres []string
	// RequestQueue gets the requests and TaskQueue the queued tasks.
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

// ContradictionError reports callers that were told something else than the workers saw.
type ContradictionError struct {
	User       string
	Violations []string
}

// Error lists the contradictions.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("%s: callers and workers disagree: %v", e.User, e.Violations)
}

// Run runs the fleet of one user with the built programs of bin and prints what was told and seen.
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

// demo is one run.
type demo struct {
	u       User
	w       io.Writer
	fleet   berylprocess.Fleet
	secrets []string
	// tasks holds the ids of the accepted tasks.
	tasks []string
	// outFrom and outTo limit the time in which nothing may start in the first data centre.
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

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.w, "%-9s "+format+"\n", append([]any{d.u.Name}, args...)...)
}

// faults hands in the tasks, kills a node, and takes a data centre out and back.
func (d *demo) faults(ctx context.Context) error {
	time.Sleep(phaseTime)
	if err := d.submitTasks(ctx); err != nil {
		return err
	}
	d.say("killing %s", d.fleet.Daemons[0].Name)
	d.fleet.Daemons[0].Kill()
	time.Sleep(phaseTime)
	out := d.u.DataCentres[0]
	if _, err := d.fleet.Client(ctx, "dc", "out", out); err != nil {
		return err
	}
	d.outFrom = time.Now().Add(outBound)
	d.say("data centre %s is out", out)
	time.Sleep(outBound + phaseTime)
	d.outTo = time.Now()
	if _, err := d.fleet.Client(ctx, "dc", "in", out); err != nil {
		return err
	}
	d.say("data centre %s is back", out)
	time.Sleep(phaseTime)
	return nil
}

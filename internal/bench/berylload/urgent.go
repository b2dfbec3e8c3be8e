package berylload

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/beryllatch/beryllatch/internal/node/berylheader"
	"github.com/rotisserie/eris"
)

const (
	// urgentSenders is the number of senders of urgent requests, each with one request at a time.
	urgentSenders = 8
	// loadRunTime and loadDeadline are the run time and the deadline of every request, urgent or not.
	loadRunTime  = 100 * time.Millisecond
	loadDeadline = 10 * time.Second
)

// Urgent measures how soon urgent requests start while other requests overload the fleet.
type Urgent struct {
	Bin      string
	Dir      string
	Daemons  int
	Workers  int
	Duration time.Duration
	// Load is the number of other requests that wait or run at any time, divided by the slots of all workers.
	Load float64
	Out  io.Writer
}

// Run starts the fleet, overloads it and prints the times between the sending of a request and its start at a worker.
func (m Urgent) Run(ctx context.Context) error {
	f, err := startFleet(ctx, m.Bin, m.Dir, fleetSpec{
		daemons: m.Daemons, workers: m.Workers, teams: 2, pools: 1, ceiling: 4096,
	})
	defer f.stop()
	if err != nil {
		return err
	}
	otherCallers := m.senders(f, 0, int(m.Load*float64(m.Workers*berylsample.Slots)))
	overload := berylprocess.StartLoad(ctx, "other", berylsample.Queue(0), otherCallers, m.headers()...)
	if err := wait(ctx, warmUp); err != nil {
		return err
	}
	urgent := berylprocess.StartLoad(
		ctx, "urgent", berylsample.Queue(0), m.senders(f, 1, urgentSenders), append(m.headers(), berylheader.Urgent, "true")...,
	)
	if err := wait(ctx, m.Duration); err != nil {
		return err
	}
	urgentReplies, otherReplies := urgent.Stop(), overload.Stop()
	starts, err := f.firstStarts(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(m.Out, "%d daemons, %d workers of %d slots, %v of work, %d other senders, %v\n",
		m.Daemons, m.Workers, berylsample.Slots, loadRunTime, len(otherCallers), m.Duration)
	_, _ = fmt.Fprintf(m.Out, "%-7s %9s %9s %8s %9s %9s %9s\n", "kind", "requests", "answered", "refused", "p50 ms", "p99 ms", "max ms")
	if err := m.print("urgent", urgentReplies, starts); err != nil {
		return err
	}
	return m.print("other", otherReplies, starts)
}

// headers returns the headers that every request has, as names and values in turn.
func (m Urgent) headers() []string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	return []string{runTimeHeader, ms(loadRunTime), berylheader.Deadline, ms(loadDeadline)}
}

// senders returns n callers of the team that send to the load balancer.
func (m Urgent) senders(f *fleet, team, n int) []berylprocess.Caller {
	return slices.Repeat([]berylprocess.Caller{{Address: f.Balancer, Secret: berylsample.Secret(team)}}, n)
}

// firstStarts returns the time at which each request was first started by a worker, by request id.
func (f *fleet) firstStarts(ctx context.Context) (map[string]time.Time, error) {
	out := map[string]time.Time{}
	for _, a := range f.addresses {
		list, err := berylprocess.StartsAt(ctx, a)
		if err != nil {
			return nil, err
		}
		for _, s := range list {
			if at, ok := out[s.RequestID]; !ok || s.Time.Before(at) {
				out[s.RequestID] = s.Time
			}
		}
	}
	return out, nil
}

func (m Urgent) print(kind string, replies map[string]berylprocess.Reply, starts map[string]time.Time) error {
	var startTimes []float64
	answered := 0
	for id, r := range replies {
		if at, ok := starts[id]; ok {
			startTimes = append(startTimes, at.Sub(r.Sent).Seconds()*1000)
		}
		if r.Answered() {
			answered++
		}
	}
	if len(startTimes) == 0 {
		return eris.Errorf("none of %d %s requests started: %v", len(replies), kind, slices.Collect(maps.Values(replies))[0])
	}
	slices.Sort(startTimes)
	quantile := func(q float64) float64 { return startTimes[int(q*float64(len(startTimes)-1))] }
	_, err := fmt.Fprintf(m.Out, "%-7s %9d %9d %8d %9.0f %9.0f %9.0f\n",
		kind, len(replies), answered, len(replies)-answered, quantile(0.5), quantile(0.99), quantile(1))
	return err
}

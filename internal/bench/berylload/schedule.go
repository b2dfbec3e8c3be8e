package berylload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
	"github.com/rotisserie/eris"
)

const (
	// tasksPerJob is the number of tasks of each job, in two steps of which the second waits for the first.
	tasksPerJob = 16
	// taskCPU and taskMemory are what each task reserves, in thousandths of a core and in MB.
	taskCPU, taskMemory = 1000, 200
	// commitTime is how long the store takes for a transaction, as the users' platform does.
	commitTime = 8 * time.Millisecond
	// registrationInterval is how often the workers renew their registrations.
	registrationInterval = 1500 * time.Millisecond
	// statePolls is how often a client asks for the state of each of its jobs.
	statePolls = 2
	// scheduleHost and scheduleKey are the host and the key with which clients call.
	scheduleHost, scheduleKey = "load.example", "load-key"
)

// The ports of a daemon of Schedule, which has an IP address of its own.
const (
	scheduleCallersPort   = 18340
	scheduleReadinessPort = 18343
	scheduleInternalPort  = 17000
)

// Schedule measures the processor time that a beryljobd which schedules alone takes for each started task.
type Schedule struct {
	// Program is the beryljobd to measure, and Dir the directory of its settings and logs.
	Program string
	Dir     string
	// Duration is the length of the measured window.
	Duration time.Duration
	Workers  int
	// Starts holds rates in started tasks per second; each is measured with a daemon of its own.
	Starts []int
	Out    io.Writer
}

// Run measures each rate and prints one line for it.
func (m Schedule) Run(ctx context.Context) error {
	_, _ = fmt.Fprintf(m.Out, "one daemon, %d workers, windows of %v\n", m.Workers, m.Duration)
	_, _ = fmt.Fprintf(m.Out, "%9s %9s %9s %13s %8s %8s %8s\n", "offered/s", "started/s", "done/s", "CPU µs/start", "CPU %", "peak MB", "refused")
	for n, rate := range m.Starts {
		if err := m.measure(ctx, rate, n); err != nil {
			return err
		}
	}
	return nil
}

// scheduleLoad is the stand-ins and the clients of one measurement.
type scheduleLoad struct {
	fleet     *berylfleet.Fleet
	callers   string
	client    *http.Client
	refused   atomic.Int64
	submitted sync.WaitGroup
}

func (m Schedule) measure(ctx context.Context, rate, number int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := &berylfleet.Store{CommitTime: commitTime}
	store.Put(berylfleet.Configuration{Version: 1, Host: scheduleHost, Keys: []string{scheduleKey}}.Row())
	l := &scheduleLoad{
		fleet:  berylfleet.NewFleet(store),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 256}, Timeout: 10 * time.Second},
	}
	storeAddress, err := berylfleet.Serve(ctx, store)
	if err != nil {
		return err
	}
	instancesAddress, err := berylfleet.Serve(ctx, l.fleet)
	if err != nil {
		return err
	}
	for i := range m.Workers {
		instance := fmt.Sprintf("m-%d", i)
		address, err := berylfleet.Serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			l.fleet.Current(instance).ServeHTTP(w, r)
		}))
		if err != nil {
			return err
		}
		l.fleet.Add(instance, "p", address)
	}
	go func() {
		for n := 1; ctx.Err() == nil; n++ {
			l.fleet.Heartbeat(n)
			_ = wait(ctx, registrationInterval)
		}
	}()
	settings := berylfleet.Settings{
		Node: "n0", IP: fmt.Sprintf("127.%d.9.%d", 40+os.Getpid()%200, 1+number),
		CallersPort: scheduleCallersPort, ReadinessPort: scheduleReadinessPort, InternalPort: scheduleInternalPort,
		StoreAddress: storeAddress, InstancesAddress: instancesAddress, MemoryMB: 536,
	}
	path := filepath.Join(m.Dir, "settings-"+strconv.Itoa(number)+".yaml")
	if err := os.WriteFile(path, []byte(settings.YAML()), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	p, err := berylprocess.Run(m.Dir, "beryljobd-"+strconv.Itoa(number), m.Program, "--settings="+path)
	if err != nil {
		return err
	}
	defer p.Kill()
	l.callers = fmt.Sprintf("http://%s:%d/q/", settings.IP, scheduleCallersPort)
	ready, cancelReady := context.WithTimeout(ctx, settleTime)
	defer cancelReady()
	if err := berylprocess.WaitFor(ready, fmt.Sprintf("http://%s:%d/v1/readyz", settings.IP, scheduleReadinessPort)); err != nil {
		return err
	}
	return m.window(ctx, l, p, rate)
}

// window submits jobs at the rate, and prints what the daemon has used once the load is steady.
func (m Schedule) window(ctx context.Context, l *scheduleLoad, p *berylprocess.Process, rate int) error {
	load, stop := context.WithCancel(ctx)
	defer stop()
	l.submitted.Go(func() { l.submit(load, float64(rate)/tasksPerJob) })
	if err := wait(ctx, warmUp+settleTime/5); err != nil {
		return err
	}
	before, err := p.Usage()
	if err != nil {
		return err
	}
	startsBefore, endsBefore, refusedBefore := l.fleet.Started(), l.fleet.Finished(), l.refused.Load()
	if err := wait(ctx, m.Duration); err != nil {
		return err
	}
	after, err := p.Usage()
	if err != nil {
		return err
	}
	starts, ends := l.fleet.Started()-startsBefore, l.fleet.Finished()-endsBefore
	stop()
	l.submitted.Wait()
	if starts == 0 {
		return eris.New("no task has started")
	}
	cpu, seconds := after.CPU-before.CPU, m.Duration.Seconds()
	_, err = fmt.Fprintf(m.Out, "%9d %9.0f %9.0f %13.1f %8.1f %8.1f %8d\n", rate, float64(starts)/seconds, float64(ends)/seconds,
		float64(cpu.Microseconds())/float64(starts), 100*cpu.Seconds()/seconds, mebibytes(after.PeakKB), l.refused.Load()-refusedBefore)
	if violations := l.fleet.Violations(); len(violations) > 0 {
		return eris.Errorf("%d violations, the first: %s", len(violations), violations[0])
	}
	return err
}

// submit submits jobs at the rate, in jobs per second, until ctx ends.
func (l *scheduleLoad) submit(ctx context.Context, rate float64) {
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // The same jobs in each run.
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem_mb":%d,"estimate_ms":350},{"count":%d,"cpu":%d,"mem_mb":%d,"estimate_ms":350,"after":[0]}]}`,
		strings.Repeat("s", 250), tasksPerJob/2, taskCPU, taskMemory, tasksPerJob/2, taskCPU, taskMemory)
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due := began.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait(ctx, time.Until(due)) != nil {
			return
		}
		id := fmt.Sprintf("%016x", rng.Uint64())
		l.fleet.Expect(id, berylfleet.Needs{CPU: taskCPU, Memory: taskMemory})
		l.submitted.Go(func() {
			if !l.call(ctx, http.MethodPost, id, body) {
				l.refused.Add(1)
				return
			}
			for range statePolls {
				if wait(ctx, time.Second) != nil || !l.call(ctx, http.MethodGet, id, "") {
					return
				}
			}
		})
	}
}

// call reports whether the call was answered with 200.
func (l *scheduleLoad) call(ctx context.Context, method, id, body string) bool {
	req, err := http.NewRequestWithContext(ctx, method, l.callers+id, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = scheduleHost
	req.Header.Set("Authorization", "Token "+scheduleKey)
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

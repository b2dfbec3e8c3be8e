package berylsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
)

const (
	// heartbeat is how often the workers register.
	heartbeat = 500 * time.Millisecond
	// settleTime is how long accepted jobs may take to end after the last fault.
	settleTime = 40 * time.Second
	// soakHost and soakKey are what the clients call with.
	soakHost = "soak.example"
	soakKey  = "soak-key"
	// startTime lets the daemons find each other before the first job.
	startTime = 2 * time.Second
)

// Soak is one seeded run.
type Soak struct {
	Program  string        `required:"" type:"existingfile" help:"The daemon to test (beryljobd)."`
	Seed     uint64        `default:"1" help:"Seed of jobs and faults."`
	Daemons  int           `default:"4" help:"Daemon processes."`
	Workers  int           `default:"6" help:"Workers."`
	Duration time.Duration `default:"15s" help:"How long jobs come and faults last."`
	Jobs     int           `default:"60" help:"Jobs."`
	Logs     string        `help:"Folder for the daemons' logs; default: a temporary one."`
}

// Result is what a soak found.
type Result struct {
	Accepted, Refused, Done int
	Faults                  []string
	Violations              []string
}

// run is the state of a soak.
type run struct {
	Soak
	ctx     context.Context
	began   time.Time
	store   *berylfleet.Store
	fleet   *berylfleet.Fleet
	daemons []*daemon
	proxies []*proxy

	mu     sync.Mutex
	faults []string
}

// Run plays the soak; an error means that it could not be set up.
func (s Soak) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := &berylfleet.Store{}
	r := &run{Soak: s, ctx: ctx, began: time.Now(), store: store, fleet: berylfleet.NewFleet(store)}
	if r.Logs == "" {
		dir, err := os.MkdirTemp("", "berylsoak")
		if err != nil {
			return Result{}, err
		}
		r.Logs = dir
	}
	if err := os.MkdirAll(r.Logs, 0o700); err != nil {
		return Result{}, err
	}
	defer func() {
		for _, d := range r.daemons {
			d.end()
		}
	}()
	if err := r.setUp(); err != nil {
		return Result{}, err
	}
	sleep(ctx, startTime)
	return r.play(), nil
}

func serve(ctx context.Context, h http.Handler) (string, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(ln) }() // It ends with the soak.
	go func() {
		<-ctx.Done()
		_ = server.Close() // The soak is over.
	}()
	return ln.Addr().String(), nil
}

func (r *run) setUp() error {
	r.store.Put(berylfleet.Configuration(soakHost, soakKey))
	store, err := serve(r.ctx, r.store)
	if err != nil {
		return err
	}
	instances, err := serve(r.ctx, r.fleet)
	if err != nil {
		return err
	}
	for i := range r.Workers {
		instance := fmt.Sprintf("m-%d", i)
		address, err := serve(r.ctx, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if k := r.fleet.Current(instance); k != nil {
				k.ServeHTTP(w, req)
				return
			}
			panic(http.ErrAbortHandler)
		}))
		if err != nil {
			return err
		}
		p, err := newProxy(r.ctx, address)
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, p)
		r.fleet.Add(instance, "p", p.address())
	}
	go r.beat()
	for i := range r.Daemons {
		p, err := newProxy(r.ctx, store)
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, p)
		d := &daemon{
			program: r.Program, dir: r.Logs, name: fmt.Sprintf("n%d", i), store: p, instances: instances,
			ip: fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%200, 1+r.Seed%250, 10+i),
		}
		r.daemons = append(r.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) beat() {
	for n := 1; r.ctx.Err() == nil; n++ {
		r.fleet.Heartbeat(n)
		sleep(r.ctx, heartbeat)
	}
}

// play brings jobs and faults, then waits for what was accepted.
func (r *run) play() Result {
	rng := rand.New(rand.NewPCG(r.Seed, 1)) //nolint:gosec // A soak must repeat.
	end := time.Now().Add(r.Duration)
	var faults, clients sync.WaitGroup
	faults.Go(func() { r.inject(end, &faults) })
	jobs := make([]*job, r.Jobs)
	done := make([]bool, r.Jobs)
	c := &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	for _, d := range r.daemons {
		c.hosts = append(c.hosts, fmt.Sprintf("%s:%d", d.ip, callersPort))
	}
	for i := range jobs {
		j := &job{id: fmt.Sprintf("%08x%08x", r.Seed, i)}
		jobs[i] = j
		width, cpu := 1+rng.IntN(6), 500+rng.IntN(3000)
		r.fleet.Expect(j.id, cpu, 200)
		body := fmt.Sprintf(`{"spec":"soak","steps":[{"count":%d,"cpu":%d,"mem_mb":200,"estimate_ms":300},`+
			`{"count":1,"cpu":%d,"mem_mb":200,"estimate_ms":300,"after":[0]}]}`, width, cpu, cpu)
		own := rand.New(rand.NewPCG(r.Seed, uint64(i)+2)) //nolint:gosec // A soak must repeat.
		clients.Go(func() {
			submit, cancel := context.WithTimeout(r.ctx, r.Duration)
			defer cancel()
			c.submit(submit, own, j, body)
			if j.accepted {
				wait, cancel := context.WithDeadline(r.ctx, end.Add(settleTime))
				defer cancel()
				done[i] = c.await(wait, own, j)
			}
		})
		sleep(r.ctx, r.Duration/time.Duration(r.Jobs))
	}
	faults.Wait()
	clients.Wait()
	return r.judge(jobs, done)
}

// judge compares what the clients were told with what the workers ran.
func (r *run) judge(jobs []*job, done []bool) Result {
	result := Result{Faults: r.faults, Violations: r.fleet.Violations()}
	for i, j := range jobs {
		if j.problem != "" {
			result.Violations = append(result.Violations, j.problem)
		}
		switch {
		case j.accepted && done[i]:
			result.Accepted++
			result.Done++
		case j.accepted:
			result.Accepted++
			if j.problem == "" {
				result.Violations = append(result.Violations, fmt.Sprintf("job %s was accepted and is not done", j.id))
			}
		default:
			result.Refused++
			if n := r.fleet.Starts(j.id); n > 0 && !j.open {
				result.Violations = append(result.Violations, fmt.Sprintf("job %s was refused, and %d of its runs started", j.id, n))
			}
		}
	}
	return result
}

// inject brings faults that overlap until the end.
func (r *run) inject(end time.Time, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.Seed, 0)) //nolint:gosec // A soak must repeat.
	for time.Now().Before(end) && r.ctx.Err() == nil {
		lasts := time.Duration(300+rng.IntN(3500)) * time.Millisecond
		kind, target, m := rng.IntN(7), rng.IntN(1<<20), mode(1+rng.IntN(int(modes)-1))
		wg.Go(func() { r.fault(kind, target, m, lasts) })
		sleep(r.ctx, time.Duration(200+rng.IntN(900))*time.Millisecond)
	}
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// fault brings one fault and ends it.
func (r *run) fault(kind, target int, m mode, lasts time.Duration) {
	d := r.daemons[target%len(r.daemons)]
	switch kind {
	case 0, 1:
		p := r.proxies[target%len(r.proxies)]
		r.note("proxy %d in mode %d for %s", target%len(r.proxies), m, lasts)
		p.set(m)
		sleep(r.ctx, lasts)
		p.set(modePass)
	case 2:
		r.note("%s is killed, back after %s", d.name, lasts/4)
		d.signal(syscall.SIGKILL)
		r.restart(d, lasts/4)
	case 3:
		r.note("%s is paused for %s", d.name, lasts)
		d.signal(syscall.SIGSTOP)
		sleep(r.ctx, lasts)
		d.signal(syscall.SIGCONT)
	case 4:
		r.note("%s is stopped", d.name)
		d.signal(syscall.SIGTERM)
		r.restart(d, lasts)
	case 5:
		instance := fmt.Sprintf("m-%d", target%r.Workers)
		r.note("worker on %s crashes, back after %s", instance, lasts)
		if w := r.fleet.Current(instance); w != nil {
			w.Crash()
			sleep(r.ctx, lasts)
			r.fleet.Add(instance, "p", r.proxies[target%r.Workers].address())
		}
	case 6:
		r.note("all daemons are killed")
		for _, d := range r.daemons {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
		}
		for _, d := range r.daemons {
			r.restart(d, lasts/8)
		}
	}
}

// restart starts the daemon again once it has ended.
func (r *run) restart(d *daemon, after time.Duration) {
	sleep(r.ctx, after)
	for range 60 {
		d.mu.Lock()
		ended := d.cmd == nil
		d.mu.Unlock()
		if ended {
			break
		}
		sleep(r.ctx, 100*time.Millisecond)
	}
	if err := d.start(); err != nil {
		r.note("%s does not start: %v", d.name, err)
	}
}

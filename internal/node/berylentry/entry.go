package berylentry

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/node/beryljobs"
	"github.com/beryllatch/beryllatch/internal/node/berylrelay"
	"github.com/beryllatch/beryllatch/internal/rpc/berylmessage"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	adapter "github.com/beryllatch/beryllatch/platform"
	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// settingsInterval is how often the settings file is checked for changes, in addition to the reload signal.
	settingsInterval = time.Second
	// shutdownDelay is how long callers are still served after SIGTERM, until the platform has noticed that the node is
	// not ready: it checks once per second and acts on the second failure.
	shutdownDelay = 3 * time.Second
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = time.Second
	// peerConnections is how many idle connections are kept to another node, for callers' requests to the scheduling
	// node.
	peerConnections = 8
	// instanceConnections is how many idle connections are kept to the instance interface. They suffice for the list of
	// instances and the instance orders, even while the platform answers slowly.
	instanceConnections = 4
	// storeConnections is how many idle connections are kept to the store, for the change feeds, the transactions and
	// the heartbeat.
	storeConnections = 6
)

// Flags are the command line of beryljobd.
type Flags struct {
	Settings       string `env:"BERYLLATCH_CONFIG" required:"" help:"Path of the platform's settings file (YAML)."`
	LogLines       int64  `env:"BERYLLATCH_LOG_LINES" default:"2000" help:"Most log lines a second; further ones are counted."`
	CheckSettings  bool   `help:"Check the settings file and exit."`
	MetricsAddress string `env:"BERYLLATCH_METRICS_ADDRESS" help:"IP address and port for metrics; default: the second internal port."`
	// SourceAddress and PeerAddress are for machines with several addresses, and for nodes behind a proxy.
	SourceAddress netip.Addr     `env:"BERYLLATCH_SOURCE_ADDRESS" help:"IP address from which the node connects to others; default: the system's choice."`
	PeerAddress   netip.AddrPort `env:"BERYLLATCH_PEER_ADDRESS" help:"IP address and port at which other nodes reach this one; default: the first internal port."`
}

// Entry is an entry node for jobs.
type Entry struct {
	Flags Flags
	Log   *log.Logger

	settings atomic.Pointer[adapter.Settings]
	metrics  *berylmetrics.Registry
	intake   *berylintake.Intake
	node     *beryljobs.Node
	servers  []*http.Server
	stopping atomic.Bool
}

// Run serves until ctx is cancelled; each value from reload makes it read the settings file again.
func (e *Entry) Run(ctx context.Context, reload <-chan struct{}) error {
	settings, err := adapter.ReadSettings(e.Flags.Settings)
	if err != nil || e.Flags.CheckSettings {
		return err
	}
	e.settings.Store(&settings)
	tuneCollector(settings.MemoryMB)
	e.build(settings)
	for _, l := range e.listeners(settings) {
		if err := e.listen(ctx, l); err != nil {
			return err
		}
	}
	e.Log.Info().Str("node", settings.Node).Str("data_centre", settings.DataCentre).Msg("started")
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.node.Run(runCtx)
	}()
	go e.watchSettings(runCtx, reload)
	go e.intake.Report(runCtx.Done(), e.metrics, e.Log)
	<-ctx.Done()
	e.stop(runCtx, settings)
	cancel()
	select {
	case <-done:
	case <-time.After(exitMargin / 2):
		e.Log.Warn().Str("node", settings.Node).Msg("node_stopped_early")
	}
	e.Log.Info().Str("node", settings.Node).Msg("stopped")
	return nil
}

// build creates the clients and the node.
func (e *Entry) build(settings adapter.Settings) {
	e.metrics = berylmetrics.New()
	e.intake = berylintake.New(berylintake.LimitsFor(settings.MemoryMB, settings.MaxFDs))
	address := func(f func(*adapter.Settings) string) func() string {
		return func() string { return f(e.settings.Load()) }
	}
	b := settings.Bounds
	e.node = &beryljobs.Node{
		Name: settings.Node, Address: e.Flags.peerAddress(settings),
		CPUShare: settings.CPUShare, ConfigurationDelay: b.ConfigurationDelay,
		Limits: berylscheduler.Limits{
			MaxLease: b.MaxLease, HandoverPause: b.HandoverPause, StopTimeout: b.StopTimeout, JobRetention: b.JobRetention, RemoteFactor: b.RemoteFactor,
			RestoreTime: b.RestoreTime, InstanceOrders: settings.InstanceOrders,
			MoveTime: b.MoveTime, MaintenanceTime: b.MaintenanceTime,
			RowBytes: settings.RowBytes, JobBytes: jobBytes(settings.MemoryMB),
		},
		Store: &adapter.Store{
			Exchange: adapter.NewExchange(storeConnections).From(e.Flags.SourceAddress),
			Address:  address(func(s *adapter.Settings) string { return s.StoreAddress }),
		},
		View:    adapter.View{},
		Workers: &adapter.Workers{Source: e.Flags.SourceAddress},
		Instances: &adapter.Instances{
			// An order that arrives after a later epoch's would take the instance from its new pool or wave.
			Exchange: adapter.NewExchange(instanceConnections).From(e.Flags.SourceAddress).ResetOnClose(),
			Address:  address(func(s *adapter.Settings) string { return s.InstancesAddress }),
		},
		Advisor: &adapter.Advisor{
			Exchange: adapter.NewExchange(1).From(e.Flags.SourceAddress), Address: address(func(s *adapter.Settings) string { return s.AdvisorAddress }),
		},
		Peers:   adapter.NewExchange(peerConnections).From(e.Flags.SourceAddress).Client(),
		Log:     &beryljobs.DecisionLog{Logger: e.Log, LinesPerSecond: e.Flags.LogLines},
		Metrics: e.metrics,
	}
}

// peerAddress returns where the other nodes reach this one.
func (f Flags) peerAddress(settings adapter.Settings) string {
	if f.PeerAddress.IsValid() {
		return f.PeerAddress.String()
	}
	return internalAddress(settings, 0)
}

// internalAddress returns the address of the nth internal port, from 0.
func internalAddress(settings adapter.Settings, n int) string {
	return net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort+n))
}

const (
	peersListener = "peers"
	// peerRequestBytes bounds a request of another node without the job that it passes on; a row has up to 1 MB.
	peerRequestBytes = 4 << 20
)

// maxPeerBody returns the size in bytes up to which requests of other nodes are read.
func (e *Entry) maxPeerBody() int64 {
	if d := e.node.Deployment(); d != nil {
		return peerRequestBytes + d.MaxBody
	}
	return peerRequestBytes
}

type listener struct {
	name, address string
	handler       http.Handler
}

func (e *Entry) listeners(settings adapter.Settings) []listener {
	callers := &adapter.Callers{Jobs: e.node, Deployment: e.node.Deployment, StaleRetry: e.node.StaleRetry, Refused: e.refused}
	ready := mux.NewRouter()
	ready.HandleFunc(adapter.ReadinessPath, e.ready)
	peers := mux.NewRouter()
	peers.PathPrefix(berylwire.JobsPathPrefix).Handler(berylwire.NewJobsServer(beryljobs.Server{Node: e.node}))
	peers.PathPrefix(berylwire.RowsPathPrefix).Handler(berylwire.NewRowsServer(berylrelay.Server{Store: e.node.Store}))
	return []listener{
		{"callers", settings.CallersAddress, callers.Handler()},
		{"readiness", settings.ReadinessAddress, berylintake.WithoutBody(ready)},
		{peersListener, internalAddress(settings, 0), berylintake.WithBody(e.maxPeerBody, berylmessage.RequestBytes, peers)},
		{"metrics", cmp.Or(e.Flags.MetricsAddress, internalAddress(settings, 1)), berylintake.WithoutBody(e.metrics)},
	}
}

// refused counts and logs the refusal of a caller's request.
func (e *Entry) refused(r *http.Request, reason beryllatch.Reason, version int64) {
	e.metrics.Count("refused."+string(reason), 1)
	e.node.Log.Refused(r.Method, r.Host, r.URL.Path, reason, version, e.node.ConfigurationAge())
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if !e.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Entry) listen(ctx context.Context, l listener) error {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", l.address)
	if err != nil {
		return eris.Wrapf(err, "%s listener", l.name)
	}
	handler := l.handler
	if l.name == "callers" {
		handler = e.closeAfterAnswer(handler)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	e.intake.Protect(server)
	e.servers = append(e.servers, server)
	go func() {
		if err := server.Serve(e.intake.Listen(ln, l.name == peersListener)); !errors.Is(err, http.ErrServerClosed) {
			e.Log.Error().Err(err).Str("listener", l.name).Msg("listener_failed")
		}
	}()
	return nil
}

// closeAfterAnswer closes each connection of a caller after its next answer once the node is stopping.
func (e *Entry) closeAfterAnswer(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// stop releases the scheduling role at once, serves callers until the platform has sent them elsewhere, and shuts the
// listeners down.
func (e *Entry) stop(ctx context.Context, settings adapter.Settings) {
	e.Log.Info().Str("node", settings.Node).Msg("stopping")
	e.node.Stop()
	e.stopping.Store(true)
	wait := min(shutdownDelay, settings.Bounds.Grace/2)
	time.Sleep(wait)
	ctx, cancel := context.WithTimeout(ctx, max(settings.Bounds.Grace-wait-exitMargin, exitMargin))
	defer cancel()
	for _, server := range e.servers {
		if err := server.Shutdown(ctx); err != nil {
			e.Log.Warn().Err(err).Msg("listener_stopped_early")
		}
	}
}

// watchSettings reads the settings file again when it has changed, or on a value from reload.
func (e *Entry) watchSettings(ctx context.Context, reload <-chan struct{}) {
	var modified time.Time
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-t.C:
			info, err := os.Stat(e.Flags.Settings)
			if err == nil && info.ModTime().Equal(modified) {
				continue
			}
			if err == nil {
				modified = info.ModTime()
			}
		}
		updated, err := adapter.ReadSettings(e.Flags.Settings)
		if err != nil {
			e.Log.Warn().Err(err).Msg("settings_not_reloaded")
			continue
		}
		if updated != *e.settings.Load() {
			e.settings.Store(&updated)
			e.Log.Info().Str("store", updated.StoreAddress).Str("instances", updated.InstancesAddress).Msg("settings_reloaded")
		}
	}
}

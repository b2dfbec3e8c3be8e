package berylserver

import (
	"cmp"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"

	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/beryllatch/beryllatch/internal/common/beryltls"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylcaller"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/node/beryloperator"
	"github.com/beryllatch/beryllatch/internal/node/berylpeer"
	"github.com/beryllatch/beryllatch/internal/node/beryltaskapi"
	"github.com/beryllatch/beryllatch/internal/platform/berylinstance"
	"github.com/beryllatch/beryllatch/internal/platform/berylobject"
	"github.com/beryllatch/beryllatch/internal/platform/beryltable"
	"github.com/beryllatch/beryllatch/internal/rpc/berylmessage"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
)

// maxPeerBody returns the size in bytes up to which requests of other nodes are read; it is above the limit of berylpeer, which
// answers in the form that other nodes know.
func maxPeerBody() int64 { return 512 << 10 }

// handlers holds the HTTP handler of each of the four listeners.
type handlers struct {
	callers   http.Handler
	operators http.Handler
	peers     http.Handler
	admin     http.Handler
}

// build creates the daemon, its clients and the handlers of its listeners.
func (s *Server) build() (handlers, error) {
	cfg := s.Settings
	started := time.Now()
	peers, err := s.peerClient()
	if err != nil {
		return handlers{}, err
	}
	workers := berylworker.New()
	metrics := berylmetrics.New()
	s.metrics = metrics
	s.intake = berylintake.New(berylintake.LimitsFor(cfg.MemoryMB, cmp.Or(cfg.MaxFDs, berylintake.ProcessFDs())))
	s.daemon = &beryldaemon.Daemon{
		Self: berylreducer.Identity{
			Node:        cfg.Node,
			Incarnation: beryldaemon.NewIncarnation(cfg.Node, started),
			DataCentre:  cfg.DataCentre,
			PeerAddress: cfg.AdvertiseAddress,
		},
		Table: beryltable.New(
			berylcall.WithEndpoint(cfg.TableEndpoint), berylcall.WithName(cfg.TableName),
			berylcall.WithRegion(cfg.PlatformRegion), berylcall.WithCredentials(cfg.PlatformKeyID, cfg.PlatformSecret),
		),
		Objects: berylobject.New(
			berylcall.WithEndpoint(cfg.ObjectEndpoint), berylcall.WithName(cfg.ObjectBucket),
			berylcall.WithRegion(cfg.PlatformRegion), berylcall.WithCredentials(cfg.PlatformKeyID, cfg.PlatformSecret),
		),
		Instances: berylinstance.New(berylinstance.WithURL(cfg.InstanceList)),
		Tasks:     workers,
		Peers:     peers,
		Metrics:   metrics,
		Log:       s.Log,
		Seed:      uint64(started.UnixNano()),
	}
	s.daemon.Init()
	tasks := &beryltaskapi.Handler{Post: s.daemon.Post, Table: s.daemon.Table, Store: s.daemon.Objects}
	s.daemon.DeliverTaskAnswer = tasks.Deliver
	callers := mux.NewRouter()
	(&berylcaller.Handler{Node: s.daemon, Upstream: workers}).Register(callers)
	tasks.Register(callers)
	var credentials []beryloperator.Credential
	for _, t := range cfg.OperatorTokens {
		c, err := beryloperator.ParseCredential(t)
		if err != nil {
			return handlers{}, err
		}
		credentials = append(credentials, c)
	}
	return handlers{
		callers: callers, operators: beryloperator.New(s.daemon, credentials), peers: berylintake.WithBody(maxPeerBody, berylmessage.RequestBytes, berylpeer.NewHandler(s.daemon)),
		admin: berylintake.WithoutBody(s.admin(metrics)),
	}, nil
}

// peerClient returns the client for calls to peers. It uses TLS if this node's own listener for peers does.
func (s *Server) peerClient() (*berylpeer.Client, error) {
	if !s.Settings.PeersTLS.Enabled() {
		return berylpeer.NewClient(), nil
	}
	files, err := beryltls.Load(s.Settings.PeersTLS)
	if err != nil {
		return nil, eris.Wrap(err, "peers' certificate")
	}
	return berylpeer.NewClient(berylpeer.WithTLS(files.ClientConfig())), nil
}

// admin returns the handler for metrics, liveness and readiness.
func (s *Server) admin(metrics http.Handler) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", metrics).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.daemon.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return r
}

func (s *Server) listeners(h handlers) []listener {
	cfg := s.Settings
	all := []listener{
		{name: "callers", address: cfg.CallersAddress, tls: cfg.CallersTLS, handler: h.callers},
		{name: "operators", address: cfg.OperatorsAddress, tls: cfg.OperatorsTLS, handler: h.operators},
		{name: "peers", address: cfg.PeersAddress, tls: cfg.PeersTLS, handler: h.peers},
		{name: "admin", address: cfg.AdminAddress, handler: h.admin},
	}
	return all
}

package berylload

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/beryllatch/beryllatch/internal/common/berylsettings"
	"github.com/beryllatch/beryllatch/internal/node/berylserver"
	"github.com/beryllatch/beryllatch/internal/platform/berylconfig"
	"github.com/beryllatch/beryllatch/internal/platform/beryltable"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// BenchmarkRequest sends requests to a daemon that runs in this process together with the platform and the workers, so
// that a profile covers the whole path of a request.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	send := daemonCall(startServer(ctx, b, requestWorkers))
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := send(ctx, 0); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkAtRest runs a daemon with 630 workers and no requests for 100 ms per iteration, for profiles of the traffic
// between the daemon, the platform and the workers.
func BenchmarkAtRest(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	startServer(ctx, b, 630)
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(100 * time.Millisecond)
	}
}

// startServer starts a daemon in this process and returns the address of its callers' listener once it is ready.
func startServer(ctx context.Context, b *testing.B, workers int) string {
	b.Helper()
	platform := berylplatform.New()
	var endpoints [3]string
	for n, name := range []string{
		berylplatform.ServiceTable, berylplatform.ServiceObjects, berylplatform.ServiceInstances,
	} {
		listener, err := platform.Listen(ctx, name, "127.0.0.1:0")
		assert.NilError(b, err)
		b.Cleanup(func() { _ = listener.Close() })
		endpoints[n] = "http://" + listener.Address()
	}
	var addresses []string
	for range workers {
		worker := berylupstream.New()
		s := httptest.NewUnstartedServer(worker.Handler())
		worker.Configure(s.Config)
		s.Start()
		b.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	store := berylconfig.Store{Table: beryltable.New(berylcall.WithEndpoint(endpoints[0]))}
	assert.NilError(b, store.Write(ctx, berylsample.Config(berylsample.Size{
		Workers: workers, Teams: 1, Pools: 1, Ceiling: 1024, Addresses: addresses,
	}), 0))
	var listenAddresses [4]string
	for n := range listenAddresses {
		address, err := berylprocess.FreeAddress()
		assert.NilError(b, err)
		listenAddresses[n] = address
	}
	server := berylserver.Server{Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Settings: berylsettings.Daemon{
		Node: "n1", DataCentre: "dc1", CallersAddress: listenAddresses[0], OperatorsAddress: listenAddresses[1],
		PeersAddress: listenAddresses[2], AdminAddress: listenAddresses[3], AdvertiseAddress: listenAddresses[2],
		TableEndpoint: endpoints[0], TableName: "beryllatch",
		ObjectEndpoint: endpoints[1], ObjectBucket: "beryllatch", InstanceList: endpoints[2] + "/instances",
		PlatformRegion: "local", PlatformKeyID: "beryllatch", PlatformSecret: "beryllatch", ShutdownTimeout: time.Millisecond,
	}}
	done := make(chan struct{})
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	b.Cleanup(func() { stop(); <-done })
	go func() {
		defer close(done)
		_ = server.Run(runCtx)
	}()
	ready, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	assert.NilError(b, berylprocess.WaitFor(ready, "http://"+listenAddresses[3]+"/readyz"))
	return listenAddresses[0]
}

package berylload

import (
	"context"
	"os"
	"path/filepath"
	"strconv"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/beryllatch/beryllatch/internal/bench/berylsample"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
)

// workersPerProcess is the largest number of workers that one stand-in process serves, each at an address of its own.
const workersPerProcess = 100

// fleetSpec describes the fleet that a measurement needs.
type fleetSpec struct {
	daemons int
	workers int
	teams   int
	// pools is the number of pools; 0 means that of the design size.
	pools int
	// ceiling is the ceiling of each team; 0 means the default of berylsample.
	ceiling int
	// countTableItems puts a tableProxy in front of the table service.
	countTableItems bool
}

// fleet is a running fleet with a configuration.
type fleet struct {
	berylprocess.Fleet
	// addresses holds the addresses of all workers.
	addresses []string
	// proxy is nil unless the fleet counts table items.
	proxy *tableProxy
}

// startFleet starts the processes and applies a configuration. The caller must stop the fleet also after an error.
func startFleet(ctx context.Context, bin, dir string, spec fleetSpec) (*fleet, error) {
	f := &fleet{Fleet: berylprocess.Fleet{Bin: bin, Dir: dir}}
	if err := f.StartPlatform(spec.daemons); err != nil {
		return f, err
	}
	if spec.countTableItems {
		f.proxy = &tableProxy{target: f.Table}
		address, err := f.proxy.start(ctx)
		if err != nil {
			return f, err
		}
		f.Table = address
	}
	if err := f.startWorkers(ctx, spec.workers); err != nil {
		return f, err
	}
	for _, d := range f.Daemons {
		if err := f.StartDaemon(ctx, d); err != nil {
			return f, err
		}
	}
	return f, f.applyConfig(ctx, berylsample.Size{
		Workers: spec.workers, Teams: spec.teams, Pools: spec.pools, Ceiling: spec.ceiling, Addresses: f.addresses,
	})
}

// stop ends every process of the fleet and the proxy.
func (f *fleet) stop() {
	if f == nil {
		return
	}
	f.Stop()
	if f.proxy != nil {
		f.proxy.stop()
	}
}

// startWorkers starts n workers in as few processes as possible.
func (f *fleet) startWorkers(ctx context.Context, n int) error {
	for len(f.addresses) < n {
		var flags, extra []string
		for range min(workersPerProcess, n-len(f.addresses)) - 1 {
			address, err := berylprocess.FreeAddress()
			if err != nil {
				return err
			}
			extra = append(extra, address)
			flags = append(flags, "--listen="+address)
		}
		id := "workers-" + strconv.Itoa(len(f.Workers))
		w, err := f.StartWorker(ctx, id, "dc1", "rack", flags...)
		if err != nil {
			return err
		}
		f.addresses = append(append(f.addresses, w.Address), extra...)
	}
	return nil
}

// registerWorkers puts the workers on the platform's instance list.
func (f *fleet) registerWorkers(ctx context.Context) error {
	for _, address := range f.addresses {
		if err := berylprocess.ListInstance(ctx, f.Control, address, false); err != nil {
			return err
		}
	}
	return nil
}

// applyConfig applies the sample configuration of the size through the client program.
func (f *fleet) applyConfig(ctx context.Context, s berylsample.Size) error {
	doc, err := protojson.Marshal(&berylwire.ApplyRequest{Changes: berylsample.Changes(berylsample.Config(s))})
	if err != nil {
		return eris.Wrap(err, "encode configuration changes")
	}
	name := filepath.Join(f.Dir, "changes.json")
	if err := os.WriteFile(name, doc, 0o600); err != nil {
		return eris.Wrap(err, "write configuration changes")
	}
	_, err = f.Client(ctx, "apply", name)
	return err
}

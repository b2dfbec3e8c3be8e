package beryldemo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/beryllatch/beryllatch/internal/bench/berylprocess"
	"github.com/rotisserie/eris"
)

// The slots and connections of each worker.
const (
	workerSlots       = 8
	workerConnections = 64
)

// start starts the platform stand-in and the entry nodes.
func (d *demo) start(ctx context.Context) error {
	d.printf("starting the platform stand-in and %d entry nodes", daemons)
	if err := d.fleet.StartPlatform(daemons); err != nil {
		return err
	}
	for _, n := range d.fleet.Daemons {
		if err := d.fleet.StartDaemon(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// configure applies the configuration generated from the user's answers, and stores the secrets of the created keys.
func (d *demo) configure(ctx context.Context) error {
	out, err := d.fleet.Client(ctx, "team", "questionnaire", "--answers="+d.u.Answers, "--apply", "--output=json")
	if err != nil {
		return err
	}
	var reply struct {
		Keys []struct {
			Secret string `json:"secret"`
		} `json:"keys"`
	}
	if err := json.Unmarshal([]byte(out), &reply); err != nil {
		return eris.Wrap(err, "decode keys")
	}
	for _, key := range reply.Keys {
		d.secrets = append(d.secrets, key.Secret)
	}
	d.printf("the questionnaire created %d teams", len(d.secrets))
	return nil
}

// instance is an entry of the file that "beryllatch instance import" reads.
type instance struct {
	ID          string `json:"id"`
	Pool        string `json:"pool"`
	DataCentre  string `json:"data_centre"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// importInstances starts two workers for each pool in each data centre and adds them to the configuration.
func (d *demo) importInstances(ctx context.Context) error {
	var file struct {
		Instances []instance `json:"instances"`
	}
	for _, pool := range []string{d.u.RequestQueue, d.u.TaskQueue} {
		for _, dc := range d.u.DataCentres {
			for n := range 2 {
				id := fmt.Sprintf("%s-%s-%d", dc, pool, n+1)
				w, err := d.fleet.StartWorker(ctx, id, dc, fmt.Sprintf("%s-rack-%d", dc, n+1))
				if err != nil {
					return err
				}
				file.Instances = append(file.Instances, instance{
					ID: id, Pool: pool, DataCentre: dc, Rack: w.Rack, Address: w.Address,
					Slots: workerSlots, Connections: workerConnections,
				})
			}
		}
	}
	path := filepath.Join(d.fleet.Dir, "instances.json")
	b, err := json.Marshal(file)
	if err != nil {
		return eris.Wrap(err, "encode instances")
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return eris.Wrap(err, "write instances")
	}
	_, err = d.fleet.Client(ctx, "instance", "import", path)
	d.printf("%d workers in %s are in the configuration", len(file.Instances), strings.Join(d.u.DataCentres, " and "))
	return err
}

// callers returns one caller for each team. They send their requests to the load balancer.
func (d *demo) callers() []berylprocess.Caller {
	var out []berylprocess.Caller
	for _, s := range d.secrets {
		out = append(out, berylprocess.Caller{Address: d.fleet.Balancer, Secret: s})
	}
	return out
}

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/phuslu/log"

	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
)

// platformCmd holds the settings of the platform stand-in.
type platformCmd struct {
	TableAddr     string            `default:"127.0.0.1:8000" help:"Address of the table service."`
	ObjectsAddr   string            `default:"127.0.0.1:8001" help:"Address of the object store."`
	InstancesAddr string            `default:"127.0.0.1:8002" help:"Address of the instance list."`
	ControlAddr   string            `default:"127.0.0.1:8003" help:"Address of the control listener, where tests set faults, instances and entry daemons."`
	BalancerAddr  string            `default:"127.0.0.1:8004" help:"Address of the load balancer."`
	Entry         map[string]string `help:"Entry daemons behind the balancer, as address=admin-address."`
	Instance      map[string]string `help:"Instances on the list from the start, as address=live or address=leaving."`
	WriteRate     int               `default:"300" help:"Items written per second above which the table refuses calls."`
	ReadRate      int               `default:"2000" help:"Items read per second above which the table refuses calls."`
	Seed          uint64            `default:"1" help:"Seed of the random choice of writes whose answers are lost under answer_lost_share."`
}

// Run serves until the context is cancelled or one of the servers fails.
func (c *platformCmd) Run(ctx context.Context) error {
	if c.WriteRate < 1 || c.ReadRate < 1 {
		return errors.New("write-rate and read-rate must be at least 1")
	}
	p := berylplatform.New(berylplatform.WithRates(c.WriteRate, c.ReadRate), berylplatform.WithSeed(c.Seed))
	for address, admin := range c.Entry {
		p.Balancer().Add(address, admin)
	}
	for address, state := range c.Instance {
		if err := p.SetInstance(address, state, nil); err != nil {
			return err
		}
	}
	for name, address := range map[string]string{
		berylplatform.ServiceTable: c.TableAddr, berylplatform.ServiceObjects: c.ObjectsAddr,
		berylplatform.ServiceInstances: c.InstancesAddr,
	} {
		server, err := p.Listen(ctx, name, address)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		defer func() { _ = server.Close() }()
		log.Info().Str("service", name).Str("address", server.Address()).Msg("listening")
	}
	balancer, err := listen(ctx, "balancer", c.BalancerAddr)
	if err != nil {
		return err
	}
	control, err := listen(ctx, "control", c.ControlAddr)
	if err != nil {
		return err
	}
	return runAll(ctx,
		func(ctx context.Context) error { return p.Balancer().Serve(ctx, balancer) },
		func(ctx context.Context) error {
			return serve(ctx, control, &http.Server{Handler: p.Control(), ReadHeaderTimeout: headerTimeout}, p.Intake())
		},
	)
}

package beryllatch

import (
	"maps"
	"slices"
)

// Config is the fleet configuration. It is immutable: each With or Without method returns a changed copy.
type Config struct {
	Version     uint64                `json:"version"`
	Teams       map[string]Team       `json:"teams,omitempty"`
	Services    map[string]Service    `json:"services,omitempty"`
	Pools       map[string]Pool       `json:"pools,omitempty"`
	Queues      map[string]Queue      `json:"queues,omitempty"`
	APIKeys     map[string]APIKey     `json:"api_keys,omitempty"`
	DataCentres map[string]DataCentre `json:"data_centres,omitempty"`
	Instances   map[string]Instance   `json:"instances,omitempty"`
	Waves       map[string]Wave       `json:"waves,omitempty"`
	// LoadMoves allows the nodes to move instances between pools when the demand changes.
	LoadMoves bool `json:"load_moves,omitempty"`
	// Operations holds the most recent operator calls, oldest first. A call that is repeated with the same operation id
	// returns the outcome recorded here instead of being applied again.
	Operations []Operation `json:"operations,omitempty"`
}

// Team is a client account with its share of the fleet and its ceiling.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's share of the capacity, relative to the other teams, when demand exceeds capacity.
	Weight int `json:"weight"`
	// Ceiling is the maximum number of the team's executions that may run at the same time in the whole fleet.
	Ceiling int `json:"ceiling"`
}

// Service is a group of pools that share one disruption budget.
type Service struct {
	Name string `json:"name"`
	// MaxUnavailable is the disruption budget: the number of instances that may be out of service at the same time.
	MaxUnavailable int `json:"max_unavailable"`
}

// Pool is a set of instances that serve the same queues.
type Pool struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Spare marks a pool that serves no work itself and lends its instances to other pools.
	Spare bool `json:"spare,omitempty"`
	// MinSize is the number of instances that must stay in the pool when others are moved away or removed.
	MinSize int `json:"min_size,omitempty"`
	// StandingLoan is the number of instances on loan from spare pools that serve the pool permanently, whatever its demand.
	StandingLoan int `json:"standing_loan,omitempty"`
}

// Queue accepts requests and dispatches them to one pool.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Team is the only team that may use the queue; empty means any team with a valid key.
	Team string `json:"team,omitempty"`
	// Open is true if the queue accepts requests without an API key.
	Open bool `json:"open,omitempty"`
	// DeadlineMS is the deadline in milliseconds of requests that declare none.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// MaxQueued is the maximum number of requests that wait in the queue at one node.
	MaxQueued int `json:"max_queued,omitempty"`
}

// APIKey authorises a team's requests; only the hash of the secret is stored.
type APIKey struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Hash      string `json:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// DataCentre is a failure domain that operators can take out of service as a whole.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Out    bool   `json:"out,omitempty"`
}

// InstanceState is the state that the configuration plans for an instance; it says nothing about its health.
type InstanceState string

// The planned states of an instance.
const (
	InstanceActive    InstanceState = "active"
	InstanceDraining  InstanceState = "draining"
	InstanceRebooting InstanceState = "rebooting"
)

// Instance is a machine that runs work; it belongs to exactly one pool.
type Instance struct {
	ID           string        `json:"id"`
	Pool         string        `json:"pool"`
	DataCentre   string        `json:"data_centre"`
	Rack         string        `json:"rack"`
	Address      string        `json:"address"`
	Slots        int           `json:"slots"`
	Connections  int           `json:"connections"`
	Cores        int           `json:"cores,omitempty"`
	MemoryMB     int           `json:"memory_mb,omitempty"`
	Accelerators int           `json:"accelerators,omitempty"`
	State        InstanceState `json:"state"`
	// MoveTo is the pool that the instance joins when its drain is complete; empty if no move is planned.
	MoveTo string `json:"move_to,omitempty"`
	// Home is the pool that an instance on loan returns to; empty while the instance is in its own pool.
	Home string `json:"home,omitempty"`
	// BootID is the boot identifier that the instance reported before its reboot was requested.
	BootID string `json:"boot_id,omitempty"`
	// Wave is the maintenance wave that drains or reboots the instance; empty if no wave does.
	Wave string `json:"wave,omitempty"`
	// DrainVersion is the configuration version that started the current drain; 0 while the instance is active.
	DrainVersion uint64 `json:"drain_version,omitempty"`
}

// WaveState is the state of a maintenance wave.
type WaveState string

// The states of a maintenance wave.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveStopped WaveState = "stopped"
	WaveDone    WaveState = "done"
)

// Wave is a maintenance wave: it drains and reboots every instance of a set of services.
type Wave struct {
	ID       string    `json:"id"`
	Services []string  `json:"services"`
	State    WaveState `json:"state"`
	// MaxUnhealthy is the number of unhealthy instances above which the wave stops; 0 means a default that depends on
	// the number of instances.
	MaxUnhealthy int `json:"max_unhealthy,omitempty"`
	// Reason says why the wave stopped.
	Reason string `json:"reason,omitempty"`
	// Done lists the instances that are back in service after their reboot, sorted.
	Done []string `json:"done,omitempty"`
}

// Operation is the recorded outcome of one operator call.
type Operation struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Version  uint64 `json:"version"`
	// Digest is the SHA-256 of the changes in hexadecimal digits. It detects an id that is used again for other changes.
	Digest string `json:"digest,omitempty"`
	// Refused is the reason for which the changes were refused; empty if they were accepted.
	Refused string `json:"refused,omitempty"`
}

// MaxOperations is the maximum number of operator calls recorded in the configuration document.
const MaxOperations = 64

// WithVersion returns a copy with the given version.
func (c Config) WithVersion(v uint64) Config { c.Version = v; return c }

// WithLoadMoves returns a copy in which load moves are switched on or off.
func (c Config) WithLoadMoves(on bool) Config { c.LoadMoves = on; return c }

// WithTeam returns a copy in which the team is added or replaced.
func (c Config) WithTeam(t Team) Config { c.Teams = with(c.Teams, t.Name, t); return c }

// WithoutTeam returns a copy without the named team.
func (c Config) WithoutTeam(name string) Config { c.Teams = without(c.Teams, name); return c }

// WithService returns a copy in which the service is added or replaced.
func (c Config) WithService(s Service) Config { c.Services = with(c.Services, s.Name, s); return c }

// WithoutService returns a copy without the named service.
func (c Config) WithoutService(name string) Config { c.Services = without(c.Services, name); return c }

// WithPool returns a copy in which the pool is added or replaced.
func (c Config) WithPool(p Pool) Config { c.Pools = with(c.Pools, p.Name, p); return c }

// WithoutPool returns a copy without the named pool.
func (c Config) WithoutPool(name string) Config { c.Pools = without(c.Pools, name); return c }

// WithQueue returns a copy in which the queue is added or replaced.
func (c Config) WithQueue(q Queue) Config { c.Queues = with(c.Queues, q.Name, q); return c }

// WithoutQueue returns a copy without the named queue.
func (c Config) WithoutQueue(name string) Config { c.Queues = without(c.Queues, name); return c }

// WithAPIKey returns a copy in which the key is added or replaced.
func (c Config) WithAPIKey(k APIKey) Config { c.APIKeys = with(c.APIKeys, k.ID, k); return c }

// WithDataCentre returns a copy in which the data centre is added or replaced.
func (c Config) WithDataCentre(d DataCentre) Config {
	c.DataCentres = with(c.DataCentres, d.Name, d)
	return c
}

// WithoutDataCentre returns a copy without the named data centre.
func (c Config) WithoutDataCentre(name string) Config {
	c.DataCentres = without(c.DataCentres, name)
	return c
}

// WithInstance returns a copy in which the instance is added or replaced.
func (c Config) WithInstance(i Instance) Config { c.Instances = with(c.Instances, i.ID, i); return c }

// WithoutInstance returns a copy without the named instance.
func (c Config) WithoutInstance(id string) Config { c.Instances = without(c.Instances, id); return c }

// WithWave returns a copy in which the wave is added or replaced.
func (c Config) WithWave(w Wave) Config { c.Waves = with(c.Waves, w.ID, w); return c }

// WithoutWave returns a copy without the wave with the given id.
func (c Config) WithoutWave(id string) Config { c.Waves = without(c.Waves, id); return c }

// WithOperation returns a copy that records the operation and drops the oldest ones above MaxOperations.
func (c Config) WithOperation(o Operation) Config {
	ops := append(slices.Clone(c.Operations), o)
	if len(ops) > MaxOperations {
		ops = ops[len(ops)-MaxOperations:]
	}
	c.Operations = ops
	return c
}

// Operation returns the recorded outcome of the operation with the given id.
func (c Config) Operation(id string) (Operation, bool) {
	i := slices.IndexFunc(c.Operations, func(o Operation) bool { return o.ID == id })
	if i < 0 {
		return Operation{}, false
	}
	return c.Operations[i], true
}

// SortedKeys returns the keys of a map in ascending order.
func SortedKeys[V any](m map[string]V) []string {
	if len(m) == 0 {
		return nil
	}
	// Preallocated: the reducer sorts the keys of several maps at every tick.
	keys := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(keys)
	return keys
}

func with[V any](m map[string]V, k string, v V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[k] = v
	return out
}

func without[V any](m map[string]V, k string) map[string]V {
	out := maps.Clone(m)
	delete(out, k)
	return out
}

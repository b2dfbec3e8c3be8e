package berylsample

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/beryllatch/beryllatch"
)

// The properties of a fleet that do not depend on its size. The values are those of the fleet that the system is
// designed for.
const (
	defaultPools   = 23
	services       = 5
	dataCentres    = 6
	regions        = 2
	workersPerRack = 4
	keysPerTeam    = 6
	connections    = 64
)

// Slots is the number of slots of each worker.
const Slots = 8

// Size sets how many workers, teams and pools a fleet has, and details of them.
type Size struct {
	Workers int
	Teams   int
	// Pools is the number of pools, with a queue each; 0 means 23.
	Pools int
	// Ceiling is the ceiling of each team; 0 means 64.
	Ceiling int
	// Addresses holds the addresses of the first workers. The others get made-up addresses.
	Addresses []string
}

// Queue returns the name of the queue of pool n.
func Queue(n int) string { return fmt.Sprintf("queue-%02d", n) }

// Secret returns the secret of the first key of a team.
func Secret(team int) string { return secret(team, 0) }

// Team returns the name of a team.
func Team(n int) string { return fmt.Sprintf("team-%03d", n) }

// Worker returns the id of a worker.
func Worker(n int) string { return fmt.Sprintf("worker-%04d", n) }

// secret returns the secret of a key of a team.
func secret(team, key int) string { return fmt.Sprintf("secret-%03d-%d", team, key) }

// Hash returns the hash of a secret as the configuration stores it.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Config returns a valid configuration for a fleet of the given size, with version 1.
func Config(s Size) beryllatch.Config {
	if s.Pools == 0 {
		s.Pools = defaultPools
	}
	c := beryllatch.Config{
		Version: 1, Teams: map[string]beryllatch.Team{}, Services: map[string]beryllatch.Service{},
		Pools: map[string]beryllatch.Pool{}, Queues: map[string]beryllatch.Queue{},
		APIKeys: map[string]beryllatch.APIKey{}, DataCentres: map[string]beryllatch.DataCentre{},
		Instances: map[string]beryllatch.Instance{},
	}
	addTopology(c, s.Pools)
	addTeams(c, s)
	for n := range s.Workers {
		i := instance(n, s)
		c.Instances[i.ID] = i
	}
	return c
}

// addTopology adds the services, the pools with a queue each, and the data centres.
func addTopology(c beryllatch.Config, pools int) {
	for n := range services {
		name := fmt.Sprintf("service-%d", n)
		c.Services[name] = beryllatch.Service{Name: name, MaxUnavailable: 4}
	}
	for n := range pools {
		name := fmt.Sprintf("pool-%02d", n)
		c.Pools[name] = beryllatch.Pool{Name: name, Service: fmt.Sprintf("service-%d", n%services)}
		c.Queues[Queue(n)] = beryllatch.Queue{Name: Queue(n), Pool: name}
	}
	for n := range dataCentres {
		name := dataCentre(n)
		c.DataCentres[name] = beryllatch.DataCentre{Name: name, Region: fmt.Sprintf("region-%d", n%regions)}
	}
}

// dataCentre returns the name of a data centre. The first two are the default data centres of the daemons that package
// berylprocess starts.
func dataCentre(n int) string { return fmt.Sprintf("dc%d", 1+n%dataCentres) }

// addTeams adds the teams and their keys.
func addTeams(c beryllatch.Config, s Size) {
	ceiling := s.Ceiling
	if ceiling == 0 {
		ceiling = 64
	}
	for n := range s.Teams {
		c.Teams[Team(n)] = beryllatch.Team{Name: Team(n), Weight: 1 + n%4, Ceiling: ceiling}
		for k := range keysPerTeam {
			id := fmt.Sprintf("%s-key-%d", Team(n), k)
			c.APIKeys[id] = beryllatch.APIKey{ID: id, Team: Team(n), Hash: Hash(secret(n, k))}
		}
	}
}

// instance returns instance n. The instances of a rack share a pool and a data centre.
func instance(n int, s Size) beryllatch.Instance {
	address := fmt.Sprintf("10.%d.%d.%d:9000", n%dataCentres, n/200, 1+n%200)
	if n < len(s.Addresses) {
		address = s.Addresses[n]
	}
	rack := n / workersPerRack
	return beryllatch.Instance{
		ID: Worker(n), Pool: fmt.Sprintf("pool-%02d", rack%s.Pools), DataCentre: dataCentre(rack),
		Rack: fmt.Sprintf("%s-rack-%03d", dataCentre(rack), rack), Address: address, Slots: Slots, Connections: connections,
		Cores: 32, MemoryMB: 65536, Accelerators: 1 + n%2, State: beryllatch.InstanceActive,
	}
}

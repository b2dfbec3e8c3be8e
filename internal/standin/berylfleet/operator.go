package berylfleet

import (
	"encoding/json"
	"fmt"
)

// Settings is what the platform's settings file of a node says.
type Settings struct {
	Node, IP                                 string
	CallersPort, ReadinessPort, InternalPort int
	StoreAddress, InstancesAddress           string
	// MemoryMB is the node's memory limit; 0 means that there is none.
	MemoryMB int
	// MaxFDs is the node's limit of descriptors; 0 means that the file has none.
	MaxFDs int
}

// YAML returns the settings file.
func (s Settings) YAML() string {
	return fmt.Sprintf(`node_name: %q
ip: %q
zone: "z1"
listen: {frontend: "%s:%d", readiness: "%s:%d"}
internal_ports: [%d, %d]
heartbeat_ms: 500
orders: "call"
limits: {cpu_share: 0.4, memory_mb: %d, max_fds: %d}
platform: {address: %q, form: "table", row_bytes: 65536}
cloud_api: {address: %q, duties_per_s: 64.0}
bounds: {grace_s: 4, hold_max_ms: 10000, stop_timeout_ms: 200, status_s: 120, lease_ms: 3000, remote_factor: 1.5,
  config_apply_ms: 2000, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2, gang_timeout_ms: 3000}
`, s.Node, s.IP, s.IP, s.CallersPort, s.IP, s.ReadinessPort, s.InternalPort, s.InternalPort+15, s.MemoryMB, s.MaxFDs, s.StoreAddress, s.InstancesAddress)
}

// Configuration is what an operator stores as the configuration: one pool, the queue /q/ of one team or more, and public queues.
type Configuration struct {
	Version int
	Host    string
	Keys    []string
	// Ceiling is the team's, in thousandths of a core; 0 means that it has none.
	Ceiling int
	// Public holds the prefixes of the public queues.
	Public []string
	// Teams holds the further teams; the first one has a weight of 1.
	Teams []Team
}

// Team is a team without a ceiling.
type Team struct {
	Name, Key string
	Weight    float64
}

// Row returns the configuration as a row of the store.
func (c Configuration) Row() Row {
	queue := func(name, prefix string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": c.Host, "prefix": prefix, "service": "p", "max_attempts": 3, "slack_factor": 1.6,
			"target_latency_ms": 600, "public": public,
		}
	}
	queues := []map[string]any{queue("q", "/q/", false)}
	for _, prefix := range c.Public {
		queues = append(queues, queue("public"+prefix, prefix, true))
	}
	teams := []map[string]any{{"name": "t", "api_keys": c.Keys, "weight": 1, "maximum": map[string]int{"cpu": c.Ceiling}}}
	for _, t := range c.Teams {
		teams = append(teams, map[string]any{"name": t.Name, "api_keys": []string{t.Key}, "weight": t.Weight})
	}
	b, err := json.Marshal(map[string]any{
		"version":  c.Version,
		"routes":   queues,
		"services": []map[string]any{{"name": "p"}},
		"tenants":  teams,
	})
	if err != nil {
		panic(err) // The map has only texts, numbers and booleans.
	}
	return Row{Table: "op", Key: "config", Value: b}
}

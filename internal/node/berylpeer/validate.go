package berylpeer

import (
	"fmt"
	"regexp"

	"github.com/twitchtv/twirp"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

const (
	// maxTeams is the maximum number of teams in one heartbeat.
	maxTeams = 1024
	// maxPools is the maximum number of pools in one heartbeat.
	maxPools = 1024
	// maxUnits is the largest ceiling of a team that a configuration may have; it bounds every number in a call.
	maxUnits = 1_000_000
)

// namePattern matches the names of teams, pools, nodes and incarnations.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

func validateHeartbeat(m *berylwire.HeartbeatRequest) error {
	if err := validateNames("node", m.GetNode(), "incarnation", m.GetIncarnation()); err != nil {
		return err
	}
	if err := validateWork(m.GetWork()); err != nil {
		return err
	}
	return validateDemand(m.GetDemand())
}

func validateWork(list []*berylwire.PoolWork) error {
	if len(list) > maxPools {
		return twirp.InvalidArgumentError("work", fmt.Sprintf("must have at most %d pools, got %d", maxPools, len(list)))
	}
	for i, w := range list {
		field := fmt.Sprintf("work[%d]", i)
		if err := validateNames(field+".pool", w.GetPool()); err != nil {
			return err
		}
		if n := w.GetSlots(); n < 0 || n > maxUnits {
			return twirp.InvalidArgumentError(field, fmt.Sprintf("must be between 0 and %d, got %d", maxUnits, n))
		}
	}
	return nil
}

func validateDemand(list []*berylwire.TeamDemand) error {
	if len(list) > maxTeams {
		return twirp.InvalidArgumentError("demand", fmt.Sprintf("must have at most %d teams, got %d", maxTeams, len(list)))
	}
	for i, d := range list {
		if err := validateTeam(fmt.Sprintf("demand[%d]", i), d); err != nil {
			return err
		}
	}
	return nil
}

func validateTeam(field string, d *berylwire.TeamDemand) error {
	if err := validateNames(field+".team", d.GetTeam()); err != nil {
		return err
	}
	for _, n := range []int32{d.GetRunning(), d.GetWaiting(), d.GetUnits()} {
		if n < 0 || n > maxUnits {
			return twirp.InvalidArgumentError(field, fmt.Sprintf("must be between 0 and %d, got %d", maxUnits, n))
		}
	}
	return nil
}

func validateUnits(m *berylwire.ReleaseUnitsRequest) error {
	if err := validateNames("team", m.GetTeam(), "incarnation", m.GetIncarnation()); err != nil {
		return err
	}
	if n := m.GetUnits(); n < 1 || n > maxUnits {
		return twirp.InvalidArgumentError("units", fmt.Sprintf("must be between 1 and %d, got %d", maxUnits, n))
	}
	if d := m.GetDemand(); d.GetTeam() != m.GetTeam() {
		return twirp.InvalidArgumentError("demand.team", fmt.Sprintf("must be %q, got %q", m.GetTeam(), d.GetTeam()))
	}
	return validateTeam("demand", m.GetDemand())
}

// validateNames checks names against namePattern; it takes pairs of a field's path, for the error, and the field's
// value.
func validateNames(pairs ...string) error {
	for i := 0; i < len(pairs); i += 2 {
		if !namePattern.MatchString(pairs[i+1]) {
			return twirp.InvalidArgumentError(pairs[i], fmt.Sprintf("must match %s, got %q", namePattern, pairs[i+1]))
		}
	}
	return nil
}

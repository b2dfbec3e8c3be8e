package berylinstance

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"github.com/beryllatch/beryllatch"
)

// StateLabel is the label that holds the state of the instances of a target group.
const StateLabel = "__meta_state"

// The values of the state label.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// MalformedListError reports an instance list of which nothing is used, since part of it is malformed.
type MalformedListError struct {
	// Group is the index of the malformed target group; -1 means that the whole document is malformed.
	Group  int
	Reason string
}

// Error names the group and the reason.
func (e *MalformedListError) Error() string {
	return fmt.Sprintf("instance list: group %d: %s", e.Group, e.Reason)
}

// Decode decodes an instance list by address. An address in several groups is leaving if any of them says so.
func Decode(b []byte) (map[string]beryllatch.InstanceStatus, error) {
	var groups []struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	if err := json.Unmarshal(b, &groups); err != nil {
		return nil, &MalformedListError{Group: -1, Reason: err.Error()}
	}
	if groups == nil {
		// A null document must not be taken for an empty fleet.
		return nil, &MalformedListError{Group: -1, Reason: "document is null"}
	}
	out := make(map[string]beryllatch.InstanceStatus)
	for i, g := range groups {
		state := g.Labels[StateLabel]
		if state != StateLive && state != StateLeaving {
			return nil, &MalformedListError{Group: i, Reason: fmt.Sprintf("label %s is %q", StateLabel, state)}
		}
		for _, t := range g.Targets {
			if err := checkAddress(t); err != nil {
				return nil, &MalformedListError{Group: i, Reason: err.Error()}
			}
			out[t] = beryllatch.InstanceStatus{Address: t, Leaving: state == StateLeaving || out[t].Leaving}
		}
	}
	return out, nil
}

// checkAddress checks that the address has the form host:port.
func checkAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("target %q: %w", a, err)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" {
		return fmt.Errorf("target %q isn't host:port", a)
	}
	return nil
}

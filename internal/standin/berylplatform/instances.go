package berylplatform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/platform/berylinstance"
)

// instances is the instance list. It keeps the history of changes, from which it builds the list as it was before the lag.
type instances struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
}

// change adds an instance to the list, updates it or removes it.
type change struct {
	at      time.Time
	address string
	state   string
	labels  map[string]string
	removed bool
}

// targetGroup is one group of targets in the Prometheus HTTP service-discovery format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// SetInstance puts an instance on the list; the state is "live" or "leaving".
func (p *Platform) SetInstance(address, state string, labels map[string]string) error {
	return p.instances.set(address, state, labels)
}

// RemoveInstance takes an instance off the list.
func (p *Platform) RemoveInstance(address string) {
	p.instances.appendChange(change{address: address, removed: true})
}

func newInstances() *instances { return &instances{} }

func (s *instances) setLag(d time.Duration) {
	s.mu.Lock()
	s.lag = d
	s.mu.Unlock()
}

func (s *instances) appendChange(c change) {
	s.mu.Lock()
	c.at = time.Now()
	s.changes = append(s.changes, c)
	s.mu.Unlock()
}

func (s *instances) set(address, state string, labels map[string]string) error {
	if state != berylinstance.StateLive && state != berylinstance.StateLeaving {
		return fmt.Errorf("instance %s: state must be live or leaving, got %q", address, state)
	}
	s.appendChange(change{address: address, state: state, labels: maps.Clone(labels)})
	return nil
}

// visibleGroups returns the list with the changes that are older than the lag.
func (s *instances) visibleGroups() []targetGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.lag)
	current := make(map[string]change)
	for _, c := range s.changes {
		if c.at.After(cutoff) {
			break
		}
		current[c.address] = c
		if c.removed {
			delete(current, c.address)
		}
	}
	out := make([]targetGroup, 0, len(current))
	for _, a := range beryllatch.SortedKeys(current) {
		labels := maps.Clone(current[a].labels)
		if labels == nil {
			labels = make(map[string]string, 1)
		}
		labels[berylinstance.StateLabel] = current[a].state
		out = append(out, targetGroup{Targets: []string{a}, Labels: labels})
	}
	return out
}

// list answers with the list, or with 304 if If-None-Match holds the entity tag of the current list.
func (s *instances) list(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(s.visibleGroups())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(b)
	tag := `"` + hex.EncodeToString(sum[:8]) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Writing fails if the client has disconnected; nothing depends on the answer.
	_, _ = w.Write(b)
}

func (s *instances) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		State  string            `json:"state"`
		Labels map[string]string `json:"labels"`
	}
	if !decodeStrict(w, r, &body) {
		return
	}
	if err := s.set(mux.Vars(r)["address"], body.State, body.Labels); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *instances) remove(w http.ResponseWriter, r *http.Request) {
	s.appendChange(change{address: mux.Vars(r)["address"], removed: true})
	w.WriteHeader(http.StatusNoContent)
}

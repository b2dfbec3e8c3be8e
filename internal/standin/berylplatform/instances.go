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

// instances is the list of instances with the history that its lag needs.
type instances struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
}

// change is one step in the history of the list.
type change struct {
	at      time.Time
	address string
	state   string
	labels  map[string]string
	gone    bool
}

// target is one group of the service-discovery format.
type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// SetInstance puts an instance on the list; the state is "live" or "leaving".
func (p *Platform) SetInstance(address, state string, labels map[string]string) error {
	return p.instances.set(address, state, labels)
}

// RemoveInstance takes an instance off the list.
func (p *Platform) RemoveInstance(address string) {
	p.instances.add(change{address: address, gone: true})
}

func newInstances() *instances { return &instances{} }

func (s *instances) setLag(d time.Duration) {
	s.mu.Lock()
	s.lag = d
	s.mu.Unlock()
}

func (s *instances) add(c change) {
	s.mu.Lock()
	c.at = time.Now()
	s.changes = append(s.changes, c)
	s.mu.Unlock()
}

func (s *instances) set(address, state string, labels map[string]string) error {
	if state != berylinstance.StateLive && state != berylinstance.StateLeaving {
		return fmt.Errorf("instance %s: state must be live or leaving, got %q", address, state)
	}
	s.add(change{address: address, state: state, labels: maps.Clone(labels)})
	return nil
}

// visible returns the list as it was before the lag.
func (s *instances) visible() []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-s.lag)
	seen := make(map[string]change)
	for _, c := range s.changes {
		if c.at.After(limit) {
			break
		}
		seen[c.address] = c
		if c.gone {
			delete(seen, c.address)
		}
	}
	out := make([]target, 0, len(seen))
	for _, a := range beryllatch.SortedKeys(seen) {
		labels := maps.Clone(seen[a].labels)
		if labels == nil {
			labels = make(map[string]string, 1)
		}
		labels[berylinstance.StateLabel] = seen[a].state
		out = append(out, target{Targets: []string{a}, Labels: labels})
	}
	return out
}

// list answers 304 if the caller names the entity tag of the present list.
func (s *instances) list(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(s.visible())
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
	// The client may be gone; nothing depends on it.
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
	s.add(change{address: mux.Vars(r)["address"], gone: true})
	w.WriteHeader(http.StatusNoContent)
}

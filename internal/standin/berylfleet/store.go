package berylfleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the most rows in one answer.
const maxPage = 500

// Row is a row of the store as it is on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is a transactional row store in memory; its zero value is empty.
type Store struct {
	// CommitTime is how long a transaction takes; 0 means that it is carried out at once.
	CommitTime time.Duration

	mu      sync.Mutex
	rows    map[string]Row
	log     []Row // All changes in order, for the feed.
	version int64
	// changed is closed at the next change; nil if no feed waits for one.
	changed chan struct{}
}

func rowName(r Row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Put stores a row without a transaction, for operators and workers.
func (s *Store) Put(r Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(r)
	s.wakeFeeds()
}

// Remove deletes a row without a transaction.
func (s *Store) Remove(r Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(r)
	s.wakeFeeds()
}

func (s *Store) put(r Row) {
	if s.rows == nil {
		s.rows = make(map[string]Row)
	}
	r.Ver, r.Deleted = s.version, false
	s.rows[rowName(r)] = r
	s.log = append(s.log, r)
}

func (s *Store) remove(r Row) {
	delete(s.rows, rowName(r))
	r.Ver, r.Deleted, r.Value = s.version, true, nil
	s.log = append(s.log, r)
}

func (s *Store) wakeFeeds() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = nil
}

// ServeHTTP serves the store's HTTP interface.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, r)
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

type transaction struct {
	Precondition, Writes, Remove []Row
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || invalid(tx) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.CommitTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	status := http.StatusOK
	var present []Row
	for _, c := range tx.Precondition {
		have, ok := s.rows[rowName(c)]
		if ok {
			present = append(present, have)
		}
		if have.Ver != c.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status != http.StatusOK {
		answer(w, status, map[string]any{"rows": present, "ver": s.version})
		return
	}
	s.version++
	for _, p := range tx.Writes {
		s.put(p)
	}
	for _, d := range tx.Remove {
		s.remove(d)
	}
	s.wakeFeeds()
	answer(w, status, map[string]any{"ver": s.version})
}

// invalid reports whether a transaction writes or removes a row twice, or names more than 100 rows.
func invalid(tx transaction) bool {
	seen := make(map[string]bool)
	for _, r := range slices.Concat(tx.Writes, tx.Remove) {
		if seen[rowName(r)] {
			return true
		}
		seen[rowName(r)] = true
	}
	return len(tx.Precondition)+len(tx.Writes)+len(tx.Remove) > 100
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var out []Row
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			out = append(out, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > maxPage
	answer(w, http.StatusOK, map[string]any{"rows": out[:min(len(out), maxPage)], "has_more": more, "ver": version})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []Row
		for i := len(s.log) - 1; i >= 0 && s.log[i].Ver > after; i-- {
			if s.log[i].Table == q.Get("table") {
				out = append(out, s.log[i])
			}
		}
		slices.Reverse(out)
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			answer(w, http.StatusOK, map[string]any{"rows": out, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"rows": []Row{}, "ver": version})
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected and needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

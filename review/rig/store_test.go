package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store that the settings file and PROTOCOL.md name.
const (
	rowBytes   = 65536
	maxPage    = 500
	maxEntries = 100
	txTime     = 3 * time.Millisecond
)

// Row is a row of the store as it is on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r Row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is the platform's row store.
type Store struct {
	rec *Record

	mu      sync.Mutex
	rows    map[string]Row
	log     []Row
	version int64
	changed chan struct{}
	began   time.Time
	// refusedRows counts the transactions that were refused since a value is longer than rowBytes.
	refusedRows int
}

func newStore(rec *Record) *Store {
	return &Store{rec: rec, rows: make(map[string]Row), changed: make(chan struct{}), began: time.Now()}
}

// Put stores a row, for the operator and the workers.
func (s *Store) Put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Value: b}}, nil)
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

// Get returns a row's value, or nil.
func (s *Store) Get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[Row{Table: table, Part: part, Key: key}.name()].Value
}

// RefusedRows returns how many transactions were refused for the length of a value.
func (s *Store) RefusedRows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedRows
}

func (s *Store) apply(writes, removes []Row) {
	s.version++
	for _, r := range writes {
		r.Ver, r.Deleted = s.version, false
		s.rows[r.name()] = r
		s.log = append(s.log, r)
	}
	for _, r := range removes {
		delete(s.rows, r.name())
		r.Ver, r.Deleted, r.Value = s.version, true, nil
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's calls.
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

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Precondition, Writes, Remove []Row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Precondition)+len(tx.Writes)+len(tx.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Writes {
		if len(p.Value) <= rowBytes {
			continue
		}
		if s.refusedRows++; s.refusedRows == 1 || s.refusedRows%20 == 0 {
			s.rec.Add("store refuses a transaction with 400: the value of %s/%s has %d bytes, row_bytes is %d (refusal %d)",
				p.Table, p.Key, len(p.Value), rowBytes, s.refusedRows)
		}
		reply(w, http.StatusBadRequest, map[string]any{"error": "value too long"})
		return
	}
	conflict := false
	present := []Row{}
	for _, c := range tx.Precondition {
		have, ok := s.rows[c.name()]
		if ok {
			present = append(present, have)
		}
		conflict = conflict || have.Ver != c.Ver
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": present, "ver": s.version, "now_ms": s.now()})
		return
	}
	s.apply(tx.Writes, tx.Remove)
	reply(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.now()})
}

func (s *Store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = maxPage
	}
	limit = min(limit, maxPage)
	s.mu.Lock()
	out := []Row{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			out = append(out, row)
		}
	}
	version, now := s.version, s.now()
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"rows": out[:min(len(out), limit)], "has_more": len(out) > limit, "ver": version, "now_ms": now})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		out := []Row{}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Ver > after; i-- {
			if s.log[i].Table == q.Get("table") {
				out = append(out, s.log[i])
			}
		}
		slices.Reverse(out)
		version, now, changed := s.version, s.now(), s.changed
		s.mu.Unlock()
		if len(out) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": version, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

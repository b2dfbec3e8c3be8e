package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in for the platform's row store.
type store struct {
	// answerTime is how long a transaction takes.
	answerTime time.Duration
	// refuse reports whether a transaction that has arrived now is answered with 503.
	refuse func() bool

	mu      sync.Mutex
	rows    map[string]row
	log     []row
	version int64
	changed chan struct{}
}

const maxRowBytes = 65536

func (s *store) put(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(r)
	s.wake()
}

func (s *store) remove(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[r.id()]; !ok {
		return
	}
	s.version++
	r.Deleted = true
	s.apply(r)
	s.wake()
}

// value returns the value of a row.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[row{Table: table, Part: part, Key: key}.id()].Value
}

// find returns the first row of a table with a key, in whatever part it is.
func (s *store) find(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && r.Key == key {
			return r.Value
		}
	}
	return nil
}

func (s *store) apply(r row) {
	if s.rows == nil {
		s.rows = make(map[string]row)
	}
	r.Ver = s.version
	if r.Deleted {
		r.Value = nil
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
	if len(s.log) > 60000 {
		s.log = slices.Clone(s.log[30000:])
	}
}

func (s *store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire["tx"]:
		s.transact(w, r)
	case wire["get"]:
		s.get(w, r)
	case wire["feed"]:
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Writes, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Precondition)+len(tx.Writes)+len(tx.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range tx.Writes {
		if len(p.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if p.Table == "servers" || p.Table == "op" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(s.answerTime)
	if s.refuse != nil && s.refuse() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	present := []row{}
	for _, c := range tx.Precondition {
		have, ok := s.rows[c.id()]
		if ok {
			present = append(present, have)
		}
		conflict = conflict || have.Ver != c.Ver
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, body{"rows": present, "ver": s.version, "now_ms": time.Since(began).Milliseconds()})
		return
	}
	s.version++
	for _, p := range tx.Writes {
		p.Deleted = false
		s.apply(p)
	}
	for _, d := range tx.Remove {
		d.Deleted = true
		s.apply(d)
	}
	s.wake()
	answer(w, http.StatusOK, body{"ver": s.version, "now_ms": time.Since(began).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var out []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			out = append(out, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(out) && n < limit && (n == 0 || size+len(out[n].Value) <= 700<<10) {
		size += len(out[n].Value)
		n++
	}
	answer(w, http.StatusOK, body{"rows": append([]row{}, out[:n]...), "has_more": n < len(out), "ver": version, "now_ms": time.Since(began).Milliseconds()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []row{}
		if len(s.log) > 0 && s.log[0].Ver > after+1 && len(s.log) >= 30000 {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
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
			answer(w, http.StatusOK, body{"rows": out, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			answer(w, http.StatusOK, body{"rows": out, "ver": version})
			return
		}
	}
}

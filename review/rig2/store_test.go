package rig2

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	transactionTime = 4 * time.Millisecond
	maxPage         = 500
	rowBytes        = 65536
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"` // In base64.
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func (r row) text() string {
	b, _ := base64.StdEncoding.DecodeString(r.Value) // What can't be decoded is shown as far as it can.
	return string(b)
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Writes       []row `json:"writes"`
	Remove       []row `json:"remove"`
	Across       bool  `json:"across"`
}

// store is the platform's metadata store.
type store struct {
	// late returns how much later a transaction is performed whose answer is lost, or 0 for any other transaction.
	late func(tx transaction) time.Duration
	log  func(format string, args ...any)

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	changed chan struct{}
	// lastConditional is the node that last wrote under a condition.
	lastConditional string
	began           time.Time
}

func newStore(log func(string, ...any)) *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), log: log, began: time.Now()}
}

// put writes a row of the operator or of a worker; an empty value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key}
	if value == nil {
		s.remove(r)
	} else {
		b, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = base64.StdEncoding.EncodeToString(b)
		s.write(r)
	}
	s.wake()
}

// text returns the value of a row, or "".
func (s *store) text(table, part, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[row{Table: table, Part: part, Key: key}.name()].text()
}

func (s *store) write(r row) {
	r.Ver = s.version
	s.rows[r.name()] = r
	s.history = append(s.history, r)
}

func (s *store) remove(r row) {
	if _, ok := s.rows[r.name()]; !ok {
		return
	}
	delete(s.rows, r.name())
	s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Deleted: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store to a node.
func (s *store) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/rows-tx":
			s.transact(w, r, node)
		case "/v1/rows-get":
			s.get(w, r)
		case "/v1/rows-feed":
			s.feed(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, node string) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := tx.check(); status != 0 {
		w.WriteHeader(status)
		return
	}
	if s.late != nil {
		if d := s.late(tx); d > 0 {
			time.AfterFunc(d, func() {
				status, _ := s.perform(tx, node)
				s.log("store: the transaction of %s without an answer is performed %v later: status %d", node, d, status)
			})
			<-r.Context().Done()
			return
		}
	}
	time.Sleep(transactionTime)
	status, body := s.perform(tx, node)
	answer(w, status, body)
}

// check returns the status for a transaction that is not valid, and 0 for any other.
func (tx transaction) check() int {
	parts := make(map[string]bool)
	for _, r := range slices.Concat(tx.Precondition, tx.Writes, tx.Remove) {
		parts[r.Part] = true
	}
	for _, r := range slices.Concat(tx.Writes, tx.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden
		}
		if base64.StdEncoding.DecodedLen(len(r.Value)) > rowBytes+2 {
			return http.StatusBadRequest
		}
	}
	if len(parts) > 1 && !tx.Across || len(tx.Precondition)+len(tx.Writes)+len(tx.Remove) > 100 {
		return http.StatusBadRequest
	}
	return 0
}

func (s *store) perform(tx transaction, node string) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, failed := []row{}, false
	for _, c := range tx.Precondition {
		have, ok := s.rows[c.name()]
		if ok {
			present = append(present, have)
		}
		failed = failed || have.Ver != c.Ver
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"rows": present, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds()}
	}
	if len(tx.Writes)+len(tx.Remove) > 0 {
		s.version++
		for _, r := range tx.Writes {
			s.write(r)
		}
		for _, r := range tx.Remove {
			s.remove(r)
		}
		s.wake()
		if len(tx.Precondition) > 0 {
			s.lastConditional = node
		}
	}
	return http.StatusOK, map[string]any{"ver": s.version, "now_ms": time.Since(s.began).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	out := []row{}
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") && (q.Get("to") == "" || have.Key < q.Get("to")) {
			out = append(out, have)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{
		"rows": out[:min(len(out), limit)], "has_more": len(out) > limit, "ver": version, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		out := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			if s.history[i].Table == q.Get("table") {
				out = append(out, s.history[i])
			}
		}
		slices.Reverse(out)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(out) > 0 || done {
			answer(w, http.StatusOK, map[string]any{"rows": out, "ver": version, "now_ms": time.Since(s.began).Milliseconds()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A caller that has disconnected needs no answer.
}

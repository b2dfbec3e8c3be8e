package berylupstream

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// Worker is one stand-in worker.
type Worker struct {
	cfg settings

	mu              sync.Mutex
	bootID          string
	rebooting       bool
	leaving         bool
	running         int
	openConnections int
	bootedAt        time.Time
	tasks           map[string]*task
	// executions holds the states of requests by execution id, for settle calls.
	executions map[string]*execution
	// pruneAt is the number of executions at which those with an expired lease are removed.
	pruneAt int
	record  []*Start
	faults  Faults
	random  *rand.Rand
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	// pendingSwap is an answer that waits for a second one to be swapped with; nil if there is none.
	pendingSwap *answerSwap
}

// New returns an idle worker.
func New(opts ...Option) *Worker {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	return &Worker{
		cfg:           cfg,
		bootID:        uuid.NewString(),
		bootedAt:      time.Now(),
		tasks:         make(map[string]*task),
		executions:    make(map[string]*execution),
		pruneAt:       minPrune,
		random:        rand.New(rand.NewPCG(cfg.seed, 0)),
		faultsChanged: make(chan struct{}),
	}
}

// Handler serves the worker protocol, and the endpoints with which tests read the record and set faults.
func (k *Worker) Handler() http.Handler {
	r := mux.NewRouter()
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.Use(k.guard)
	v1.HandleFunc("/executions", k.execute).Methods(http.MethodPost)
	v1.HandleFunc("/executions/{id}/settle", k.settle).Methods(http.MethodPost)
	v1.HandleFunc("/tasks/{id}", k.startTask).Methods(http.MethodPut)
	v1.HandleFunc("/tasks/{id}", k.reportTask).Methods(http.MethodGet)
	v1.HandleFunc("/tasks/{id}", k.stopTask).Methods(http.MethodDelete)
	v1.HandleFunc("/tasks/{id}/lease", k.renewTask).Methods(http.MethodPost)
	v1.HandleFunc("/tasks/{id}/result", k.taskResult).Methods(http.MethodGet)
	v1.HandleFunc("/tasks/{id}/checkpoint", k.checkpointTask).Methods(http.MethodPost)
	v1.HandleFunc("/tasks/{id}/throttle", k.throttleTask).Methods(http.MethodPost)
	v1.HandleFunc("/status", k.status).Methods(http.MethodGet)
	v1.HandleFunc("/reboot", k.reboot).Methods(http.MethodPost)
	r.HandleFunc("/record", k.getRecord).Methods(http.MethodGet)
	r.HandleFunc("/record", k.clearRecord).Methods(http.MethodDelete)
	r.HandleFunc("/faults", k.getFaults).Methods(http.MethodGet)
	r.HandleFunc("/faults", k.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/leaving", k.putLeaving).Methods(http.MethodPut)
	return r
}

// Configure makes the server count its open connections, so that starts on connections above the limit are refused.
func (k *Worker) Configure(s *http.Server) {
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.openConnections++
		return context.WithValue(ctx, surplusKey{}, k.openConnections > k.cfg.connections)
	}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			k.mu.Lock()
			k.openConnections--
			k.mu.Unlock()
		}
	}
}

// Report returns what GET /v1/status answers.
func (k *Worker) Report() beryllatch.WorkerReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	return beryllatch.WorkerReport{BootID: k.bootID, Slots: k.cfg.slots, Running: k.running, Leaving: k.leaving}
}

// SetLeaving sets whether the worker is leaving the fleet; a leaving worker refuses every start.
func (k *Worker) SetLeaving(leaving bool) {
	k.mu.Lock()
	k.leaving = leaving
	k.mu.Unlock()
}

// surplusKey is the context key of a bool that is true for a connection above the limit.
type surplusKey struct{}

// guard sets the caller's execution id on every answer, and answers calls other than starts while the worker is rebooting.
func (k *Worker) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(berylworker.HeaderExecutionID, r.Header.Get(berylworker.HeaderExecutionID))
		k.mu.Lock()
		rebooting := k.rebooting
		k.mu.Unlock()
		start := r.URL.Path == berylworker.PathExecutions || r.Method == http.MethodPut
		if rebooting && !start {
			// This answer must not have the run state "not run", since the work that the call refers to may have run before
			// the reboot. Starts are refused as not run by admit.
			problem(w, http.StatusServiceUnavailable, "rebooting", "the worker is rebooting")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (k *Worker) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, k.Report())
}

func (k *Worker) reboot(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	if boot := r.Header.Get(berylworker.HeaderBootID); boot != "" && boot != k.bootID {
		k.mu.Unlock()
		refuse(w, http.StatusPreconditionFailed, "other_boot", "the worker has rebooted since")
		return
	}
	if k.running > 0 || k.rebooting {
		k.mu.Unlock()
		refuse(w, http.StatusConflict, "busy", "work is running")
		return
	}
	k.rebooting = true
	k.mu.Unlock()
	time.AfterFunc(k.cfg.rebootTime, func() {
		k.mu.Lock()
		k.rebooting, k.bootID, k.bootedAt = false, uuid.NewString(), time.Now()
		clear(k.executions)
		k.mu.Unlock()
	})
	writeJSON(w, http.StatusAccepted, k.Report())
}

func (k *Worker) putLeaving(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Leaving bool `json:"leaving"`
	}
	if !decodeStrict(w, r, &body) {
		return
	}
	k.SetLeaving(body.Leaving)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	berylreply.WriteJSON(w, status, "application/json", v)
}

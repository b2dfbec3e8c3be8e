package berylplatform

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
)

// maxBodies bounds the memory of requests that are not answered: five of the largest objects at once, each with a buffer that grows.
const maxBodies = 512 << 20

// Platform is the stand-in with all of its services.
type Platform struct {
	cfg       settings
	table     *table
	objects   *objects
	instances *instances
	balancer  *Balancer
	intake    *berylintake.Intake

	// setFaultsMu serialises calls of SetFaults, which open and close the servers after releasing mu.
	setFaultsMu sync.Mutex

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	servers map[string]*Server
}

// New returns a platform without rows, objects, instances and entry daemons.
func New(opts ...Option) *Platform {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	return &Platform{
		cfg:       cfg,
		table:     newTable(cfg.writeRate, cfg.readRate),
		objects:   newObjects(),
		instances: newInstances(),
		balancer:  newBalancer(cfg.healthInterval),
		intake: berylintake.New(berylintake.Limits{
			Bytes: maxBodies, Connections: berylintake.LimitsFor(0, berylintake.ProcessFDs()).Connections,
		}),
		random:  rand.New(rand.NewPCG(cfg.seed, 0)),
		servers: make(map[string]*Server),
	}
}

// Table serves the DynamoDB JSON protocol.
func (p *Platform) Table() http.Handler { return p.withFaults(ServiceTable, p.table) }

// Objects serves the S3 REST protocol.
func (p *Platform) Objects() http.Handler { return p.withFaults(ServiceObjects, p.objects) }

// Instances serves the instance list under /instances.
func (p *Platform) Instances() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/instances", p.instances.list).Methods(http.MethodGet)
	return p.withFaults(ServiceInstances, r)
}

// Intake returns the limits for clients of the platform's servers.
func (p *Platform) Intake() *berylintake.Intake { return p.intake }

// Balancer returns the load balancer over the entry daemons.
func (p *Platform) Balancer() *Balancer { return p.balancer }

// Control serves the endpoints with which tests set the faults, the instance list and the entry daemons.
func (p *Platform) Control() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", p.getFaults).Methods(http.MethodGet)
	r.HandleFunc("/faults", p.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/instances/{address}", p.instances.put).Methods(http.MethodPut)
	r.HandleFunc("/instances/{address}", p.instances.remove).Methods(http.MethodDelete)
	r.HandleFunc("/entries/{address}", p.balancer.put).Methods(http.MethodPut)
	r.HandleFunc("/entries/{address}", p.balancer.remove).Methods(http.MethodDelete)
	r.HandleFunc("/entries", p.balancer.list).Methods(http.MethodGet)
	return r
}

// decodeStrict decodes a JSON body and reports whether it is valid; if not, it has answered the call with 400.
func decodeStrict(w http.ResponseWriter, r *http.Request, v any) bool {
	err := berylreply.DecodeStrict(w, r, v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

package berylplan

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/beryllatch/beryllatch"
	"pgregory.net/rapid"
)

// writeMode is how a node writes what it has checked against its own view.
type writeMode int

const (
	// compareAndSet replaces the whole document if the view is still the stored version.
	compareAndSet writeMode = iota
	// rowByRow stores the changed instances and waves over whatever is there: the plain way, without a condition.
	rowByRow
)

// race is a fleet with one stored document and nodes that each act on a view of it.
type race struct {
	mode   writeMode
	choose func(n int) int
	head   beryllatch.Config
	views  []beryllatch.Config
	health Health
	// moving holds the target of each accepted move until it ends.
	moving map[string]string
	// reboots counts the reboots of each instance within the wave.
	reboots map[string]int
	boots   int
	// broken holds the properties that failed.
	broken map[string]bool
}

const raceNodes = 3

func newRace(mode writeMode, choose func(n int) int) *race {
	c := fleet(1 + choose(3))
	c = c.WithService(beryllatch.Service{Name: "spokes", MaxUnavailable: 1}).
		WithPool(beryllatch.Pool{Name: "spokes", Service: "spokes"})
	for n := range 4 {
		c = c.WithInstance(beryllatch.Instance{
			ID: fmt.Sprintf("s%d", n), Pool: "spokes", DataCentre: fmt.Sprintf("dc%d", n/2+1), Rack: "r1",
			Address: fmt.Sprintf("127.0.0.1:%d", 9101+n), Slots: 8, Connections: 64, State: beryllatch.InstanceActive,
		})
	}
	wave := beryllatch.Wave{ID: "december", Services: []string{"lacing", "spokes"}, MaxUnhealthy: 2}
	c, err := Apply(c, nil, StartWave{Wave: wave})
	if err != nil {
		panic(err)
	}
	r := &race{
		mode: mode, choose: choose, head: c, health: AllLive(c, "b0"), moving: map[string]string{}, reboots: map[string]int{},
		broken: map[string]bool{},
	}
	r.views = slices.Repeat([]beryllatch.Config{c}, raceNodes)
	return r
}

// act takes one random action of an operator, a node or the fleet.
func (r *race) act() {
	node := r.choose(raceNodes)
	id := beryllatch.SortedKeys(r.head.Instances)[r.choose(len(r.head.Instances))]
	dc := fmt.Sprintf("dc%d", 1+r.choose(2))
	switch r.choose(12) {
	case 0, 1:
		r.request(node, DrainInstance{ID: id})
	case 2:
		r.request(node, ReturnInstance{ID: id})
	case 3, 4:
		pool := beryllatch.SortedKeys(r.head.Pools)[r.choose(len(r.head.Pools))]
		r.request(node, MoveInstance{ID: id, Pool: pool})
	case 5:
		r.request(node, SetDataCentreOut{Name: dc, Out: r.choose(3) == 0})
	case 6:
		r.health = r.health.With(id, InstanceHealth{BootID: r.health[id].BootID})
	case 7:
		r.health = r.health.With(id, InstanceHealth{Live: true, Idle: true, BootID: r.health[id].BootID})
	case 8:
		r.views[node] = r.head
	case 9:
		r.reboot()
	default:
		r.step(node)
	}
	r.check()
}

// request lets a node judge an operator's change on its view and write it.
func (r *race) request(node int, ch Change) {
	next, err := Apply(r.views[node], r.health, ch)
	if err != nil || !r.write(node, next) {
		return
	}
	switch ch := ch.(type) {
	case MoveInstance:
		r.moving[ch.ID] = ch.Pool
	case ReturnInstance:
		delete(r.moving, ch.ID)
	}
}

// step lets a node take the due steps of its view.
func (r *race) step(node int) {
	steps, next := NextSteps(r.views[node], r.health)
	if len(steps) == 0 || !r.write(node, next) {
		return
	}
	for _, s := range steps {
		switch s.Kind {
		case StepReboot:
			r.reboots[s.Instance]++
		case StepJoin:
			if r.moving[s.Instance] != next.Instances[s.Instance].Pool {
				r.broken["one pool"] = true
			}
			delete(r.moving, s.Instance)
		}
	}
}

// write stores what a node computed from its view, and shows the node the stored document.
func (r *race) write(node int, next beryllatch.Config) bool {
	view := r.views[node]
	ok := r.mode == rowByRow || view.Version == r.head.Version
	if ok {
		head := r.head
		if r.mode == compareAndSet {
			head = next
		} else {
			head = storeChangedRows(head, view, next)
		}
		r.head = head.WithVersion(r.head.Version + 1)
	}
	if ok || r.mode == compareAndSet {
		r.views[node] = r.head
	}
	return ok
}

// storeChangedRows stores the rows that differ between a view and the configuration computed from it.
func storeChangedRows(head, view, next beryllatch.Config) beryllatch.Config {
	for id, i := range next.Instances {
		if i != view.Instances[id] {
			head = head.WithInstance(i)
		}
	}
	for id, w := range next.Waves {
		if !reflect.DeepEqual(w, view.Waves[id]) {
			head = head.WithWave(w)
		}
	}
	for id, d := range next.DataCentres {
		if d != view.DataCentres[id] {
			head = head.WithDataCentre(d)
		}
	}
	return head
}

// reboot brings the rebooting instances back on a new boot.
func (r *race) reboot() {
	for _, id := range beryllatch.SortedKeys(r.head.Instances) {
		if i := r.head.Instances[id]; i.State == beryllatch.InstanceRebooting && r.health[id].BootID == i.BootID {
			r.boots++
			r.health = r.health.With(id, InstanceHealth{Live: true, Idle: true, BootID: fmt.Sprintf("b%d", r.boots)})
		}
	}
}

// check notes the properties that do not hold.
func (r *race) check() {
	planned := map[string]int{}
	for _, i := range r.head.Instances {
		if i.State != beryllatch.InstanceActive || i.MoveTo != "" {
			planned[r.head.Pools[i.Pool].Service]++
		}
	}
	for name, n := range planned {
		if n > r.head.Services[name].MaxUnavailable {
			r.broken["budget"] = true
		}
	}
	for id, pool := range r.moving {
		if r.head.Instances[id].MoveTo != pool {
			r.broken["one pool"] = true
		}
	}
	for _, n := range r.reboots {
		if n > 1 {
			r.broken["once a wave"] = true
		}
	}
}

// finishWave ends the faults and the operators' drains, and lets the nodes finish the wave.
func (r *race) finishWave() {
	for id := range r.head.Instances {
		r.health = r.health.With(id, InstanceHealth{Live: true, Idle: true, BootID: r.health[id].BootID})
	}
	r.views = slices.Repeat([]beryllatch.Config{r.head}, raceNodes)
	for _, dc := range []string{"dc1", "dc2"} {
		r.request(0, SetDataCentreOut{Name: dc})
	}
	for _, id := range beryllatch.SortedKeys(r.head.Instances) {
		if i := r.head.Instances[id]; i.State == beryllatch.InstanceDraining && i.Wave == "" {
			r.request(0, ReturnInstance{ID: id})
		}
	}
	r.request(0, ResumeWave{ID: "december"})
	for n := range 40 * len(r.head.Instances) {
		r.step(n % raceNodes)
		r.reboot()
		r.check()
	}
	w := r.head.Waves["december"]
	if w.State != beryllatch.WaveDone || len(w.Done) != len(r.head.Instances) {
		r.broken["no stuck wave"] = true
	}
}

func (r *race) run(actions int) map[string]bool {
	for range actions {
		r.act()
	}
	r.finishWave()
	return r.broken
}

// TestRaces guards every property that racing operators and nodes could break.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if broken := newRace(compareAndSet, choose).run(120); len(broken) > 0 {
			t.Fatalf("properties broken: %v", broken)
		}
	})
}

// TestRacesPlainWay shows that a check against a stale view without a compare-and-set breaks each property, and so
// that TestRaces can fail.
func TestRacesPlainWay(t *testing.T) {
	want := map[string]bool{"budget": true, "one pool": true, "once a wave": true, "no stuck wave": true}
	for seed := uint64(1); len(want) > 0 && seed <= 500; seed++ {
		random := rand.New(rand.NewPCG(seed, seed))
		for broken := range newRace(rowByRow, random.IntN).run(120) {
			delete(want, broken)
		}
	}
	if len(want) > 0 {
		t.Errorf("not broken by the plain way: %v", want)
	}
}

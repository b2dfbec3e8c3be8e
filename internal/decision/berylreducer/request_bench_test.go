package berylreducer

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
)

// benchSize is the size of a fleet.
type benchSize struct{ workers, teams, pools int }

var benchSizes = []benchSize{{50, 6, 5}, {630, 26, 23}, {2520, 104, 92}}

func (b benchSize) config() beryllatch.Config {
	c := beryllatch.Config{
		Version: 1, Teams: map[string]beryllatch.Team{}, Pools: map[string]beryllatch.Pool{},
		Queues: map[string]beryllatch.Queue{}, APIKeys: map[string]beryllatch.APIKey{},
		Instances: map[string]beryllatch.Instance{}, DataCentres: map[string]beryllatch.DataCentre{},
	}
	for n := range 6 {
		name := "dc" + strconv.Itoa(n)
		c.DataCentres[name] = beryllatch.DataCentre{Name: name, Region: "r" + strconv.Itoa(n/3)}
	}
	for n := range b.teams {
		name := strconv.Itoa(n)
		c.Teams[name] = beryllatch.Team{Name: name, Weight: 1 + n%4, Ceiling: 100000}
		c.APIKeys[name] = beryllatch.APIKey{ID: name, Team: name, Hash: name}
	}
	for n := range b.pools {
		name := strconv.Itoa(n)
		c.Pools[name] = beryllatch.Pool{Name: name}
		c.Queues[name] = beryllatch.Queue{Name: name, Pool: name, MaxQueued: 100000}
	}
	for n := range b.workers {
		id := strconv.Itoa(n)
		c.Instances[id] = beryllatch.Instance{
			ID: id, Pool: strconv.Itoa(n % b.pools), DataCentre: "dc" + strconv.Itoa(n%6), Address: id,
			Slots: 8, Connections: 64, State: beryllatch.InstanceActive,
		}
	}
	return c
}

// benchNode is a reducer under load; running holds its running attempts in the order of their dispatch.
type benchNode struct {
	r        Reducer
	size     benchSize
	now      Instant
	arrivals int
	running  []Dispatch
}

func newBenchNode(size benchSize) *benchNode {
	b := &benchNode{size: size, now: Instant{Wall: sessionStart}}
	b.r.Reduce(b.now, Started{Self: Identity{Node: "n1", Incarnation: "n1-1", DataCentre: "dc0"}, Seed: 1, Slots: 1 << 20})
	b.r.Reduce(b.now, ConfigRead{Config: size.config()})
	b.r.Reduce(b.now, Renewed{SentAt: b.now, HeadVersion: 1})
	for team, u := range b.r.units {
		held := map[string]int{}
		for n := range 9 {
			held["n"+strconv.Itoa(n)+"-1"] = 10000
		}
		u.held, u.rowRead = 10000, true
		u.row = UnitRow{Team: team, ConfigVersion: 1, Ceiling: 100000, Holdings: held}
	}
	return b
}

func (b *benchNode) reduce(e Event) {
	for _, x := range b.r.Reduce(b.now, e) {
		if d, ok := x.(Dispatch); ok {
			b.running = append(b.running, d)
		}
	}
}

func (b *benchNode) arrive() {
	n := b.arrivals
	b.arrivals++
	b.reduce(RequestArrived{
		ID: strconv.Itoa(n), KeyHash: strconv.Itoa(n * 7 % b.size.teams), Queue: strconv.Itoa(n % b.size.pools),
		Deadline: time.Duration(20+n%40) * time.Second, Urgent: n%10 == 0,
	})
}

func (b *benchNode) endOldest() {
	d := b.running[0]
	b.running = b.running[1:]
	b.reduce(ExecutionEnded{
		ID: d.ID, Attempt: d.Attempt, Outcome: beryllatch.OutcomeAnswered, Duration: time.Millisecond, Replayable: true,
	})
}

// BenchmarkRequest measures the arrival and the completion of a request, with 0 and with 4000 waiting requests.
func BenchmarkRequest(b *testing.B) {
	for _, size := range benchSizes {
		for _, waiting := range []int{0, 4000} {
			b.Run(fmt.Sprintf("workers=%d/teams=%d/waiting=%d", size.workers, size.teams, waiting), func(b *testing.B) {
				n := newBenchNode(size)
				for len(n.r.requests) < size.workers*8+waiting && waiting > 0 {
					n.arrive()
				}
				b.ReportAllocs()
				for b.Loop() {
					n.arrive()
					n.endOldest()
				}
			})
		}
	}
}

// BenchmarkTick measures a tick while 4000 requests wait.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", size.workers, size.teams), func(b *testing.B) {
			n := newBenchNode(size)
			for len(n.r.requests) < size.workers*8+4000 {
				n.arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				n.r.Reduce(n.now, Ticked{})
			}
		})
	}
}

// BenchmarkAbandon measures the arrival of a request and its cancellation by the caller, among 4000 waiting requests.
func BenchmarkAbandon(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/teams=%d", size.workers, size.teams), func(b *testing.B) {
			n := newBenchNode(size)
			for len(n.r.requests) < size.workers*8+4000 {
				n.arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				n.arrive()
				n.reduce(RequestAbandoned{ID: strconv.Itoa(n.arrivals - 1)})
			}
		})
	}
}

package berylplan

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/golden"
)

// session runs a script of changes, steps and health events and records the lines that each one changes.
type session struct {
	config beryllatch.Config
	health Health
	log    strings.Builder
}

func newSession(c beryllatch.Config) *session { return &session{config: c, health: AllLive(c, "b1")} }

// do applies changes as one call.
func (s *session) do(changes ...Change) {
	for _, ch := range changes {
		doc, _ := json.Marshal(ch)
		fmt.Fprintf(&s.log, "%s %s\n", strings.TrimPrefix(fmt.Sprintf("%T", ch), "berylplan."), doc)
	}
	next, err := Apply(s.config, s.health, changes...)
	if err != nil {
		fmt.Fprintf(&s.log, "  refused: %v\n", err)
		return
	}
	s.commit(next)
}

// steps takes the due steps, as many rounds as asked for.
func (s *session) steps(rounds int) {
	for range rounds {
		steps, next := NextSteps(s.config, s.health)
		fmt.Fprintf(&s.log, "steps\n")
		for _, st := range steps {
			fmt.Fprintf(&s.log, "  %s%s%s%s\n", st.Kind, textField("instance", st.Instance), textField("wave", st.Wave), textField("reason", st.Reason))
		}
		if len(steps) > 0 {
			s.commit(next)
		}
	}
}

func (s *session) commit(next beryllatch.Config) {
	next = next.WithVersion(s.config.Version + 1)
	for _, l := range DiffLines(s.config, next) {
		fmt.Fprintf(&s.log, "  %s\n", l)
	}
	s.config = next
}

// set replaces the health of instances.
func (s *session) set(h InstanceHealth, ids ...string) {
	fmt.Fprintf(&s.log, "health %s: live=%t idle=%t boot=%s overdue=%t\n", strings.Join(ids, ","), h.Live, h.Idle, h.BootID, h.Overdue)
	for _, id := range ids {
		s.health = s.health.With(id, h)
	}
}

// reboot lets every rebooting instance come back on a new boot.
func (s *session) reboot() {
	for _, id := range beryllatch.SortedKeys(s.config.Instances) {
		if s.config.Instances[id].State == beryllatch.InstanceRebooting {
			s.set(InstanceHealth{Live: true, Idle: true, BootID: "b2"}, id)
		}
	}
}

var (
	down    = InstanceHealth{}
	healthy = InstanceHealth{Live: true, Idle: true, BootID: "b1"}
	busy    = InstanceHealth{Live: true, BootID: "b1"}
)

// fleet has a service with a pool and a spare pool; each of two data centres has two racks of two instances.
func fleet(budget int) beryllatch.Config {
	c := beryllatch.Config{Version: 1}.
		WithTeam(beryllatch.Team{Name: "wheels", Weight: 1, Ceiling: 8}).
		WithService(beryllatch.Service{Name: "lacing", MaxUnavailable: budget}).
		WithPool(beryllatch.Pool{Name: "lacing", Service: "lacing"}).
		WithPool(beryllatch.Pool{Name: "spare", Service: "lacing", Spare: true}).
		WithQueue(beryllatch.Queue{Name: "plans", Pool: "lacing", Team: "wheels"}).
		WithAPIKey(beryllatch.APIKey{ID: "k1", Team: "wheels", Hash: strings.Repeat("1", 64)}).
		WithDataCentre(beryllatch.DataCentre{Name: "dc1"}).
		WithDataCentre(beryllatch.DataCentre{Name: "dc2"})
	for n := range 8 {
		pool := "lacing"
		if n%4 == 3 {
			pool = "spare"
		}
		c = c.WithInstance(beryllatch.Instance{
			ID: fmt.Sprintf("w%d", n+1), Pool: pool, DataCentre: fmt.Sprintf("dc%d", n/4+1), Rack: fmt.Sprintf("r%d", n/2%2+1),
			Address: fmt.Sprintf("127.0.0.1:%d", 9001+n), Slots: 8, Connections: 64, State: beryllatch.InstanceActive,
		})
	}
	return c
}

func startWave() Change {
	return StartWave{Wave: beryllatch.Wave{ID: "december", Services: []string{"lacing"}}}
}

func TestSessions(t *testing.T) {
	for name, script := range map[string]func(s *session){
		// Guards against planned and unplanned unavailability being counted apart, and against a refused data centre.
		"budget": func(s *session) {
			s.do(DrainInstance{ID: "w1"})
			s.set(down, "w5")
			s.do(DrainInstance{ID: "w2"})
			s.do(SetDataCentreOut{Name: "dc2", Out: true})
			s.do(MoveInstance{ID: "w4", Pool: "lacing"})
			s.do(SetDataCentreOut{Name: "dc2"}, ReturnInstance{ID: "w1"})
			s.do(DrainInstance{ID: "w2"})
			s.do(DrainInstance{ID: "w2"})
		},
		// Guards against an instance in two pools, a cycle of moves and a pool that is emptied.
		"moves": func(s *session) {
			s.do(MoveInstance{ID: "w4", Pool: "lacing"})
			s.do(MoveInstance{ID: "w4", Pool: "lacing"})
			s.do(MoveInstance{ID: "w1", Pool: "spare"})
			s.set(busy, "w4")
			s.steps(1)
			s.set(healthy, "w4")
			s.steps(2)
			s.do(PutPool{Pool: beryllatch.Pool{Name: "lacing", Service: "lacing", MinSize: 9}})
			s.do(PutPool{Pool: beryllatch.Pool{Name: "lacing", Service: "lacing", MinSize: 7}})
			s.do(MoveInstance{ID: "w1", Pool: "spare"})
			s.do(PutInstance{Instance: s.config.Instances["w1"]}, RemoveInstance{ID: "w1"})
		},
		// Guards against dangling references, and against a withdrawn key that works again.
		"removal": func(s *session) {
			s.do(RemoveTeam{Name: "wheels"})
			s.do(RemovePool{Name: "lacing"})
			s.do(RemoveService{Name: "lacing"})
			s.do(RemoveDataCentre{Name: "dc1"})
			s.do(WithdrawAPIKey{ID: "k1"}, RemoveQueue{Name: "plans"}, RemoveTeam{Name: "wheels"})
			s.do(PutTeam{Team: beryllatch.Team{Name: "wheels", Weight: 1, Ceiling: 8}})
			s.do(PutAPIKey{Key: beryllatch.APIKey{ID: "k1", Team: "wheels", Hash: strings.Repeat("2", 64)}})
			s.do(PutAPIKey{Key: beryllatch.APIKey{ID: "k2", Team: "wheels", Hash: strings.Repeat("1", 64)}})
			s.do(CreateOnly{Change: PutTeam{Team: s.config.Teams["wheels"]}})
		},
		// Guards against unclear refusals of impossible values.
		"values": func(s *session) {
			zero := 0
			s.do(ChangeTeam{Name: "wheels", Weight: &zero})
			s.do(ChangeService{Name: "lacing", MaxUnavailable: &zero})
			s.do(PutQueue{Queue: beryllatch.Queue{Name: "plans", Pool: "rims"}})
			s.do(ChangePool{Name: "rims", MinSize: &zero})
			s.do(DrainInstance{ID: "w9"})
		},
		// Guards against two racks or two data centres at once, and a pause that strands instances.
		"wave": func(s *session) {
			s.do(startWave())
			s.steps(1)
			s.do(startWave())
			s.do(StartWave{Wave: beryllatch.Wave{ID: "second", Services: []string{"lacing"}}})
			s.do(PauseWave{ID: "december"})
			s.steps(1)
			s.reboot()
			s.steps(2)
			s.do(ResumeWave{ID: "december"})
			for range 3 {
				s.steps(2)
				s.reboot()
			}
			s.steps(3)
		},
		// Guards against a wave that goes on among unexpected failures, and one that cannot be resumed.
		"wave_rack_lost": func(s *session) {
			s.do(startWave())
			s.steps(1)
			s.set(down, "w3", "w4")
			s.steps(1)
			s.set(down, "w5")
			s.steps(1)
			s.reboot()
			s.steps(2)
			s.set(healthy, "w3", "w4", "w5")
			s.do(ResumeWave{ID: "december"})
			s.steps(1)
		},
		// Guards against new drains while a data centre is out, and a stop that leaves instances draining.
		"wave_data_centre_out": func(s *session) {
			s.do(startWave())
			s.steps(1)
			s.do(SetDataCentreOut{Name: "dc1", Out: true})
			s.steps(2)
			s.do(SetDataCentreOut{Name: "dc1"})
			s.reboot()
			s.steps(1)
			s.do(StopWave{ID: "december"})
			s.steps(1)
		},
		// Guards against one dead instance that stops the wave for good.
		"wave_overdue": func(s *session) {
			s.do(startWave())
			s.steps(2)
			s.set(down, "w1")
			s.set(InstanceHealth{Live: true, Idle: true, BootID: "b2"}, "w2")
			s.steps(2)
			s.set(InstanceHealth{Overdue: true}, "w1")
			s.steps(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSession(fleet(2))
			script(s)
			golden.Assert(t, s.log.String(), name+".golden")
		})
	}
}

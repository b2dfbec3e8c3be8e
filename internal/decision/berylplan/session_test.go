package berylplan

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/golden"
)

// session applies a script of changes, steps and health reports to a fleet, and records the configuration lines that each
// of them changes.
type session struct {
	config beryllatch.Config
	health Health
	log    strings.Builder
}

func newSession(c beryllatch.Config) *session { return &session{config: c, health: AllLive(c, "b1")} }

// do applies the changes in one call of Apply.
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

// steps takes the due steps, for the given number of rounds.
func (s *session) steps(rounds int) {
	for range rounds {
		steps, next := NextSteps(s.config, s.health)
		fmt.Fprintf(&s.log, "steps\n")
		for _, step := range steps {
			fmt.Fprintf(&s.log, "  %s%s%s%s\n", step.Kind, textField("instance", step.Instance), textField("wave", step.Wave), textField("reason", step.Reason))
		}
		if len(steps) > 0 {
			s.commit(next)
		}
	}
}

// commit stores the configuration as the next version and records the changed lines.
func (s *session) commit(next beryllatch.Config) {
	next = next.WithVersion(s.config.Version + 1)
	for _, l := range DiffLines(s.config, next) {
		fmt.Fprintf(&s.log, "  %s\n", l)
	}
	s.config = next
}

// set replaces the health of the instances.
func (s *session) set(h InstanceHealth, ids ...string) {
	fmt.Fprintf(&s.log, "health %s: live=%t idle=%t boot=%s overdue=%t\n", strings.Join(ids, ","), h.Live, h.Idle, h.BootID, h.Overdue)
	for _, id := range ids {
		s.health = s.health.With(id, h)
	}
}

// reboot completes the reboots under way: the instances become live with a new boot id.
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

// fleet returns a fleet of one service, with a pool and a spare pool, in two data centres with two racks of two instances
// each.
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

// TestSessions compares the records of scripted sessions with the golden files.
func TestSessions(t *testing.T) {
	for name, script := range map[string]func(s *session){
		// Guards against a budget that counts planned drains and failures separately, and against a refusal to take a data
		// centre out of service.
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
		// Guards against two moves of one instance at the same time, a cycle of moves, and a pool below its minimum size.
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
		// Guards against the removal of objects that are in use, and against a withdrawn key that is granted again.
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
		// Guards against refusals of invalid values that do not name the field and the reason.
		"values": func(s *session) {
			zero := 0
			s.do(ChangeTeam{Name: "wheels", Weight: &zero})
			s.do(ChangeService{Name: "lacing", MaxUnavailable: &zero})
			s.do(PutQueue{Queue: beryllatch.Queue{Name: "plans", Pool: "rims"}})
			s.do(ChangePool{Name: "rims", MinSize: &zero})
			s.do(DrainInstance{ID: "w9"})
		},
		// Guards against a wave in two racks or two data centres at the same time, and against a pause that leaves instances
		// out of service.
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
		// Guards against a wave that continues after the loss of a rack, and against one that cannot be resumed.
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
		// Guards against drains while a data centre is out of service, and against a stopped wave that leaves instances
		// draining.
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
		// Guards against a wave that waits forever for an instance that does not return from its reboot.
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

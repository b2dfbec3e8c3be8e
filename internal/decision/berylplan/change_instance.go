package berylplan

import (
	"github.com/beryllatch/beryllatch"
)

// PutInstance adds an active instance, or replaces the description of an existing one, except its pool and state. A new
// instance of a spare pool is lent immediately to a pool whose standing loan is not filled, if there is one.
type PutInstance struct{ Instance beryllatch.Instance }

// RemoveInstance removes an instance. A live one must be out of service and idle, and the pool must keep its minimum size.
type RemoveInstance struct{ ID string }

// DrainInstance takes an active instance out of service: it gets no new work and finishes what it runs.
type DrainInstance struct{ ID string }

// ReturnInstance puts a draining instance, or one whose reboot is complete or overdue, back into service and cancels its
// move, if any.
type ReturnInstance struct{ ID string }

// MoveInstance drains an instance and moves it to another pool permanently. If the instance was on loan, the loan ends.
type MoveInstance struct {
	ID   string
	Pool string
}

// LendInstance drains an instance and moves it to another pool on loan: its Home records the pool that it returns to. A
// move to that pool ends the loan.
type LendInstance struct {
	ID   string
	Pool string
}

func (ch PutInstance) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	i := ch.Instance
	old, exists := c.Instances[i.ID]
	if !exists {
		return c.WithInstance(activate(placeOnStandingLoan(c, i))), nil
	}
	if i.Pool != old.Pool && i.Pool != old.Home {
		return c, invalid("instances."+i.ID+".pool", "is %q; a known instance changes its pool only by a move", old.Pool)
	}
	i.State, i.MoveTo, i.BootID, i.Wave = old.State, old.MoveTo, old.BootID, old.Wave
	i.DrainVersion, i.Pool, i.Home = old.DrainVersion, old.Pool, old.Home
	return c.WithInstance(i), nil
}

func (ch RemoveInstance) apply(c beryllatch.Config, h Health) (beryllatch.Config, error) {
	i, err := findInstance(c, ch.ID)
	if err != nil {
		return c, err
	}
	live := h[i.ID].Live
	if live && i.State == beryllatch.InstanceActive {
		return c, &StateError{Field: "instances." + i.ID + ".state", State: string(i.State), Want: "draining"}
	}
	if live && !h[i.ID].Idle {
		return c, &StateError{Field: "instances." + i.ID, State: "still running work", Want: "idle"}
	}
	if err := checkPoolSize(c, i); err != nil {
		return c, err
	}
	return c.WithoutInstance(i.ID), nil
}

func (ch DrainInstance) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	i, err := findInstance(c, ch.ID)
	if err != nil {
		return c, err
	}
	if i.MoveTo != "" {
		return c, &MoveError{Instance: i.ID, To: i.MoveTo}
	}
	if i.State != beryllatch.InstanceActive {
		return c, &StateError{Field: "instances." + i.ID + ".state", State: string(i.State), Want: "active"}
	}
	return c.WithInstance(startDrain(c, i)), nil
}

func (ch ReturnInstance) apply(c beryllatch.Config, h Health) (beryllatch.Config, error) {
	i, err := findInstance(c, ch.ID)
	if err != nil {
		return c, err
	}
	// The reboot request may still reach the instance and would interrupt new work.
	if i.State == beryllatch.InstanceRebooting && !rebooted(i, h) && !h[i.ID].Overdue {
		return c, &StateError{Field: "instances." + i.ID + ".state", State: string(i.State), Want: "draining"}
	}
	if i.State == beryllatch.InstanceActive {
		return c, &StateError{Field: "instances." + i.ID + ".state", State: string(i.State), Want: "draining"}
	}
	if i.State == beryllatch.InstanceRebooting && rebooted(i, h) {
		c = markDone(c, i)
	}
	return c.WithInstance(activate(i)), nil
}

func (ch MoveInstance) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return moveInstance(c, ch, "")
}

func (ch LendInstance) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	i := c.Instances[ch.ID]
	home := i.Home
	if home == "" {
		home = i.Pool
	}
	return moveInstance(c, MoveInstance(ch), home)
}

func moveInstance(c beryllatch.Config, ch MoveInstance, home string) (beryllatch.Config, error) {
	i, err := findInstance(c, ch.ID)
	if err != nil {
		return c, err
	}
	if i.MoveTo != "" {
		return c, &MoveError{Instance: i.ID, To: i.MoveTo}
	}
	if i.Wave != "" || i.State == beryllatch.InstanceRebooting {
		return c, &StateError{Field: "instances." + i.ID + ".state", State: string(i.State) + " for maintenance", Want: "active"}
	}
	if _, ok := c.Pools[ch.Pool]; !ok {
		return c, &NotFoundError{Field: "pools." + ch.Pool}
	}
	if ch.Pool == i.Pool {
		return c, invalid("instances."+i.ID+".move_to", "is already in pool %q", i.Pool)
	}
	if cycle := moveCycle(c, i.Pool, ch.Pool); cycle != nil {
		return c, &MoveCycleError{Instance: i.ID, Pools: cycle}
	}
	if err := checkPoolSize(c, i); err != nil {
		return c, err
	}
	i = startDrain(c, i)
	i.MoveTo, i.Home = ch.Pool, home
	return c.WithInstance(i), nil
}

func findInstance(c beryllatch.Config, id string) (beryllatch.Instance, error) {
	i, ok := c.Instances[id]
	if !ok {
		return i, &NotFoundError{Field: "instances." + id}
	}
	return i, nil
}

// startDrain starts the drain of an active instance and records the configuration version that the change will create. A
// drain already under way keeps its version.
func startDrain(c beryllatch.Config, i beryllatch.Instance) beryllatch.Instance {
	if i.State == beryllatch.InstanceActive {
		i.State, i.DrainVersion = beryllatch.InstanceDraining, c.Version+1
	}
	return i
}

// activate returns the instance in service, without a move, reboot or wave, and without a loan if it is in its own pool.
func activate(i beryllatch.Instance) beryllatch.Instance {
	i.State, i.MoveTo, i.BootID, i.Wave = beryllatch.InstanceActive, "", "", ""
	i.DrainVersion = 0
	if i.Home == i.Pool {
		i.Home = ""
	}
	return i
}

// rebooted reports whether the instance is live and its boot id has changed since before its reboot was requested.
func rebooted(i beryllatch.Instance, h Health) bool {
	health := h[i.ID]
	return health.Live && health.BootID != "" && health.BootID != i.BootID
}

// checkPoolSize returns a *PoolSizeError if the pool would be left with fewer instances than its MinSize without the given
// one. A pool with queues needs at least one instance.
func checkPoolSize(c beryllatch.Config, leaving beryllatch.Instance) error {
	p := c.Pools[leaving.Pool]
	minSize := p.MinSize
	if len(poolQueues(c, p.Name)) > 0 {
		minSize = max(minSize, 1)
	}
	left := 0
	for id, i := range c.Instances {
		if id != leaving.ID && i.Pool == p.Name && i.MoveTo == "" {
			left++
		}
	}
	if left < minSize {
		return &PoolSizeError{Pool: p.Name, Left: left, Min: minSize}
	}
	return nil
}

// moveCycle returns the pools of the cycle that a move would form with the moves under way, or nil.
func moveCycle(c beryllatch.Config, from, to string) []string {
	next := map[string][]string{}
	for _, id := range beryllatch.SortedKeys(c.Instances) {
		if i := c.Instances[id]; i.MoveTo != "" {
			next[i.Pool] = append(next[i.Pool], i.MoveTo)
		}
	}
	visited := map[string]bool{}
	var walk func(pool string, path []string) []string
	walk = func(pool string, path []string) []string {
		path = append(path, pool)
		if pool == from {
			return path
		}
		if visited[pool] {
			return nil
		}
		visited[pool] = true
		for _, p := range next[pool] {
			if found := walk(p, path); found != nil {
				return found
			}
		}
		return nil
	}
	return walk(to, []string{from})
}

package berylplan

import (
	"slices"

	"github.com/beryllatch/beryllatch"
)

// PutService adds or replaces a service.
type PutService struct{ Service beryllatch.Service }

// RemoveService removes a service and its finished waves; it is refused while the service has pools or unfinished waves.
type RemoveService struct{ Name string }

// PutPool adds or replaces a pool.
type PutPool struct{ Pool beryllatch.Pool }

// RemovePool removes a pool; it is refused while the pool has queues or instances, or while instances are moving to it or
// are on loan from it.
type RemovePool struct{ Name string }

// PutQueue adds or replaces a queue.
type PutQueue struct{ Queue beryllatch.Queue }

// RemoveQueue removes a queue.
type RemoveQueue struct{ Name string }

func (ch PutService) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return c.WithService(ch.Service), nil
}

func (ch RemoveService) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	if _, ok := c.Services[ch.Name]; !ok {
		return c, &NotFoundError{Field: "services." + ch.Name}
	}
	var users []string
	for name, p := range c.Pools {
		if p.Service == ch.Name {
			users = append(users, "pools."+name)
		}
	}
	for id, w := range c.Waves {
		if slices.Contains(w.Services, ch.Name) && !finished(w) {
			users = append(users, "waves."+id)
		}
	}
	if len(users) > 0 {
		slices.Sort(users)
		return c, &InUseError{Field: "services." + ch.Name, Users: users}
	}
	for id, w := range c.Waves {
		if slices.Contains(w.Services, ch.Name) {
			c = c.WithoutWave(id)
		}
	}
	return c.WithoutService(ch.Name), nil
}

func (ch PutPool) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return c.WithPool(ch.Pool), nil
}

func (ch RemovePool) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	if _, ok := c.Pools[ch.Name]; !ok {
		return c, &NotFoundError{Field: "pools." + ch.Name}
	}
	users := poolQueues(c, ch.Name)
	for id, i := range c.Instances {
		if i.Pool == ch.Name || i.MoveTo == ch.Name || i.Home == ch.Name {
			users = append(users, "instances."+id)
		}
	}
	if len(users) > 0 {
		slices.Sort(users)
		return c, &InUseError{Field: "pools." + ch.Name, Users: users}
	}
	return c.WithoutPool(ch.Name), nil
}

func poolQueues(c beryllatch.Config, pool string) []string {
	var users []string
	for name, q := range c.Queues {
		if q.Pool == pool {
			users = append(users, "queues."+name)
		}
	}
	return users
}

func (ch PutQueue) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return c.WithQueue(ch.Queue), nil
}

func (ch RemoveQueue) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	if _, ok := c.Queues[ch.Name]; !ok {
		return c, &NotFoundError{Field: "queues." + ch.Name}
	}
	return c.WithoutQueue(ch.Name), nil
}

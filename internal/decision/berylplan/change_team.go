package berylplan

import (
	"slices"

	"github.com/beryllatch/beryllatch"
)

// PutTeam adds or replaces a team.
type PutTeam struct{ Team beryllatch.Team }

// RemoveTeam removes a team; it is refused while the team has queues or keys that are not withdrawn.
type RemoveTeam struct{ Name string }

// PutAPIKey grants a key to a team; an existing key cannot be replaced.
type PutAPIKey struct{ Key beryllatch.APIKey }

// WithdrawAPIKey withdraws a key permanently.
type WithdrawAPIKey struct{ ID string }

func (ch PutTeam) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	return c.WithTeam(ch.Team), nil
}

func (ch RemoveTeam) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	if _, ok := c.Teams[ch.Name]; !ok {
		return c, &NotFoundError{Field: "teams." + ch.Name}
	}
	if users := teamUsers(c, ch.Name); len(users) > 0 {
		return c, &InUseError{Field: "teams." + ch.Name, Users: users}
	}
	return c.WithoutTeam(ch.Name), nil
}

func teamUsers(c beryllatch.Config, team string) []string {
	var users []string
	for id, k := range c.APIKeys {
		if k.Team == team && !k.Withdrawn {
			users = append(users, "api_keys."+id)
		}
	}
	for name, q := range c.Queues {
		if q.Team == team {
			users = append(users, "queues."+name)
		}
	}
	slices.Sort(users)
	return users
}

func (ch PutAPIKey) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	if old, ok := c.APIKeys[ch.Key.ID]; ok {
		if old.Withdrawn {
			return c, &KeyWithdrawnError{ID: ch.Key.ID}
		}
		return c, &ExistsError{Field: "api_keys." + ch.Key.ID}
	}
	if ch.Key.ID == "" {
		return c, invalid("api_keys", "id is missing")
	}
	k := ch.Key
	k.Withdrawn = false
	return c.WithAPIKey(k), nil
}

func (ch WithdrawAPIKey) apply(c beryllatch.Config, _ Health) (beryllatch.Config, error) {
	k, ok := c.APIKeys[ch.ID]
	if !ok {
		return c, &NotFoundError{Field: "api_keys." + ch.ID}
	}
	k.Withdrawn = true
	return c.WithAPIKey(k), nil
}

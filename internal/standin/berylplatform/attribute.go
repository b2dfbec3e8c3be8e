package berylplatform

import (
	"strconv"
	"strings"
	"time"
)

// attribute is one value of the DynamoDB JSON protocol; exactly one field is set.
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B *[]byte `json:",omitempty"`
}

// attributes is an item or a key. A stored item is never changed, since answers are encoded from it without the table's
// lock.
type attributes map[string]attribute

func (a attribute) equal(o attribute) bool {
	switch {
	case a.S != nil && o.S != nil:
		return *a.S == *o.S
	case a.N != nil && o.N != nil:
		return strings.TrimLeft(*a.N, "0") == strings.TrimLeft(*o.N, "0")
	case a.B != nil && o.B != nil:
		return string(*a.B) == string(*o.B)
	}
	return false
}

func (m attributes) key() (pk, sk string, fail *serviceError) {
	p, s := m["pk"].S, m["sk"].S
	if p == nil || s == nil || *p == "" || *s == "" {
		return "", "", invalid("One or more parameter values were invalid: pk and sk must be non-empty strings")
	}
	return *p, *s, nil
}

// size returns the size of an item in bytes as DynamoDB counts it: names, values, and about half a byte per digit of a
// number.
func (m attributes) size() int {
	n := 0
	for k, v := range m {
		n += len(k)
		if v.B != nil {
			n += len(*v.B)
		}
		if v.S != nil {
			n += len(*v.S)
		}
		if v.N != nil {
			n += len(*v.N)/2 + 2
		}
	}
	return n
}

func (m attributes) expired(now time.Time) bool {
	ttl := m["ttl"].N
	if ttl == nil {
		return false
	}
	at, err := strconv.ParseInt(*ttl, 10, 64)
	return err == nil && at < now.Unix()
}

// condition reports whether an item fulfils an expression; the item is nil if it does not exist.
type condition func(item attributes) bool

// parseCondition parses attribute_not_exists(a), attribute_exists(a) and a = :ref, joined by AND. An empty expression is
// always fulfilled.
func parseCondition(expr string, values attributes) (condition, *serviceError) {
	if strings.TrimSpace(expr) == "" {
		return func(attributes) bool { return true }, nil
	}
	var all []condition
	for clause := range strings.SplitSeq(expr, " AND ") {
		c, ok := parseClause(strings.TrimSpace(clause), values)
		if !ok {
			return nil, invalid("unsupported condition: " + expr)
		}
		all = append(all, c)
	}
	return func(item attributes) bool {
		for _, c := range all {
			if !c(item) {
				return false
			}
		}
		return true
	}, nil
}

func parseClause(clause string, values attributes) (condition, bool) {
	for prefix, want := range map[string]bool{"attribute_not_exists(": false, "attribute_exists(": true} {
		rest, ok := strings.CutPrefix(clause, prefix)
		if !ok {
			continue
		}
		name, ok := strings.CutSuffix(rest, ")")
		return func(item attributes) bool {
			_, exists := item[name]
			return exists == want
		}, ok && name != ""
	}
	name, ref, ok := strings.Cut(clause, "=")
	want, defined := values[strings.TrimSpace(ref)]
	name = strings.TrimSpace(name)
	return func(item attributes) bool {
		got, exists := item[name]
		return exists && got.equal(want)
	}, ok && defined
}

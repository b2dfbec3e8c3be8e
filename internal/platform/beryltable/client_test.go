package beryltable_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/platform/beryltable"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
)

// newTable serves a platform's table service on loopback and returns a client of it.
func newTable(t *testing.T, p *berylplatform.Platform) *beryltable.Client {
	t.Helper()
	server, err := p.Listen(t.Context(), berylplatform.ServiceTable, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return beryltable.New(berylcall.WithEndpoint("http://" + server.Address()))
}

func key(sort string) beryllatch.RowKey { return beryllatch.RowKey{Partition: "p", Sort: sort} }

func write(sort, value string, expect uint64) beryllatch.RowWrite {
	return beryllatch.RowWrite{Row: beryllatch.Row{Key: key(sort), Value: []byte(value)}, Expect: expect}
}

// Guards against a write that reaches the service without its condition.
func TestTransactConditions(t *testing.T) {
	remove := func(sort string, expect uint64) beryllatch.RowWrite {
		return beryllatch.RowWrite{Row: beryllatch.Row{Key: key(sort)}, Expect: expect, Delete: true}
	}
	check := func(sort string, expect uint64) beryllatch.RowWrite {
		return beryllatch.RowWrite{Row: beryllatch.Row{Key: key(sort)}, Expect: expect, CheckOnly: true}
	}
	versioned := write("a", "new", 1)
	versioned.Version = 1<<32 + 1
	for _, tc := range []struct {
		name   string
		writes []beryllatch.RowWrite
		failed string
		// want is the version and value of row a, which is 1:old at first, and the version of row b, which is missing at first.
		want string
	}{
		{"nothing to write", nil, "", "1:old 0"},
		{"create", []beryllatch.RowWrite{write("b", "x", 0)}, "", "1:old 1"},
		{"create an existing row", []beryllatch.RowWrite{write("a", "x", 0)}, "a", "1:old 0"},
		{"update", []beryllatch.RowWrite{write("a", "new", 1)}, "", "2:new 0"},
		{"update with a version", []beryllatch.RowWrite{versioned}, "", "4294967297:new 0"},
		{"update an older version", []beryllatch.RowWrite{write("a", "x", 2)}, "a", "1:old 0"},
		{"update a missing row", []beryllatch.RowWrite{write("b", "x", 1)}, "b", "1:old 0"},
		{"delete", []beryllatch.RowWrite{remove("a", 1)}, "", "0: 0"},
		{"delete an older version", []beryllatch.RowWrite{remove("a", 7)}, "a", "1:old 0"},
		{"check holds", []beryllatch.RowWrite{check("a", 1), write("b", "x", 0)}, "", "1:old 1"},
		{"check of absence holds", []beryllatch.RowWrite{check("b", 0), write("a", "new", 1)}, "", "2:new 0"},
		{"check fails", []beryllatch.RowWrite{write("b", "x", 0), check("a", 2)}, "a", "1:old 0"},
		{"second write fails", []beryllatch.RowWrite{write("a", "new", 1), write("b", "x", 9)}, "b", "1:old 0"},
		{"empty value", []beryllatch.RowWrite{write("a", "", 1)}, "", "2: 0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTable(t, berylplatform.New())
			assert.NilError(t, c.Transact(t.Context(), write("a", "old", 0)))
			err := c.Transact(t.Context(), tc.writes...)
			if tc.failed == "" {
				assert.NilError(t, err)
			} else {
				failed, ok := errors.AsType[*beryllatch.ConditionFailedError](err)
				assert.Assert(t, ok, "got %v", err)
				assert.Equal(t, failed.Key, key(tc.failed))
			}
			a, err := c.Get(t.Context(), key("a"))
			assert.NilError(t, err)
			b, err := c.Get(t.Context(), key("b"))
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprintf("%d:%s %d", a.Version, a.Value, b.Version), tc.want)
		})
	}
}

// Guards against rows that are lost or repeated between two pages of a query.
func TestQueryPages(t *testing.T) {
	c := newTable(t, berylplatform.New())
	big := strings.Repeat("x", 300<<10)
	for i := range 7 {
		assert.NilError(t, c.Transact(t.Context(), write(fmt.Sprint(i), big, 0)))
	}
	expires := write("8", "v", 0)
	expires.Row.Expires = time.Now().Add(time.Hour).Unix()
	expired := write("9", "v", 0)
	expired.Row.Expires = 1
	assert.NilError(t, c.Transact(t.Context(), expires, expired))
	for _, tc := range []struct {
		after string
		limit int
		want  string
	}{
		{"", 0, "0 1 2 3 4 5 6 8"},
		{"", 3, "0 1 2"},
		{"", 6, "0 1 2 3 4 5"},
		{"4", 0, "5 6 8"},
		{"4", 1, "5"},
		{"8", 5, ""},
	} {
		t.Run(fmt.Sprintf("after %q limit %d", tc.after, tc.limit), func(t *testing.T) {
			rows, err := c.Query(t.Context(), "p", tc.after, tc.limit)
			assert.NilError(t, err)
			var got []string
			for _, r := range rows {
				got = append(got, r.Key.Sort)
			}
			assert.Equal(t, strings.Join(got, " "), tc.want)
		})
	}
	row, err := c.Get(t.Context(), key("8"))
	assert.NilError(t, err)
	assert.Equal(t, row.Expires, expires.Row.Expires)
}

// Guards against sending a transaction that exceeds the service's limits: it would be rejected only after its transfer, or
// with an unclear error.
func TestTransactLimits(t *testing.T) {
	c := beryltable.New(berylcall.WithEndpoint("http://127.0.0.1:1"))
	err := c.Transact(t.Context(), write("a", strings.Repeat("x", beryltable.MaxItemBytes), 0))
	large, ok := errors.AsType[*beryltable.ItemTooLargeError](err)
	assert.Assert(t, ok, "got %v", err)
	assert.Equal(t, large.Key, key("a"))
	err = c.Transact(t.Context(), make([]beryllatch.RowWrite, beryltable.MaxWrites+1)...)
	many, ok := errors.AsType[*beryltable.TooManyWritesError](err)
	assert.Assert(t, ok, "got %v", err)
	assert.Equal(t, many.Count, beryltable.MaxWrites+1)
}

package berylobject_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/platform/berylobject"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
)

// newStore serves a platform's object store on loopback and returns a client of it.
func newStore(t *testing.T, p *berylplatform.Platform) *berylobject.Client {
	t.Helper()
	server, err := p.Listen(t.Context(), berylplatform.ServiceObjects, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return berylobject.New(berylcall.WithEndpoint("http://" + server.Address()))
}

// Guards against a payload that is read back changed, and against a stream being rejected because it cannot be rewound.
func TestRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		name string
		size int
		body func([]byte) io.Reader
	}{
		{"empty", 0, func(b []byte) io.Reader { return bytes.NewReader(b) }},
		{"seekable", 100_000, func(b []byte) io.Reader { return bytes.NewReader(b) }},
		{"stream", 100_000, func(b []byte) io.Reader { return io.MultiReader(bytes.NewReader(b)) }},
		{"large stream", 3 << 20, func(b []byte) io.Reader { return io.MultiReader(bytes.NewReader(b)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newStore(t, berylplatform.New())
			want := bytes.Repeat([]byte{7}, tc.size)
			assert.NilError(t, c.Put(t.Context(), "tasks/a b", tc.body(want), int64(tc.size)))
			r, err := c.Get(t.Context(), "tasks/a b")
			assert.NilError(t, err)
			got, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.NilError(t, r.Close())
			assert.Assert(t, bytes.Equal(got, want))
		})
	}
}

// Guards against a missing object being reported as an outage: the read would be retried for ever.
func TestGetMissing(t *testing.T) {
	_, err := newStore(t, berylplatform.New()).Get(t.Context(), "none")
	missing, ok := errors.AsType[*berylobject.NotFoundError](err)
	assert.Assert(t, ok, "got %v", err)
	assert.Equal(t, missing.Name, "none")
}

// Guards against an object being reported as not stored although it may be.
func TestPutUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  berylplatform.ServiceFaults
		unknown bool
	}{
		{"refused", berylplatform.ServiceFaults{Outage: berylplatform.OutageRefuse}, false},
		{"503", berylplatform.ServiceFaults{Outage: berylplatform.OutageUnavailable}, false},
		{"answer lost", berylplatform.ServiceFaults{AnswerLostNext: 1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := berylplatform.New()
			c := newStore(t, p)
			assert.NilError(t, p.SetFaults(t.Context(), berylplatform.Faults{Objects: tc.faults}))
			err := c.Put(t.Context(), "a", strings.NewReader("x"), 1)
			_, unknown := errors.AsType[*beryllatch.UnknownOutcomeError](err)
			_, unavailable := errors.AsType[*beryllatch.UnavailableError](err)
			assert.Equal(t, unknown, tc.unknown, "got %v", err)
			assert.Equal(t, unavailable, !tc.unknown, "got %v", err)
			if !unknown {
				_, err = c.Get(t.Context(), "a")
				_, unavailable = errors.AsType[*beryllatch.UnavailableError](err)
				assert.Assert(t, unavailable, "got %v", err)
			}
		})
	}
}

// Guards against an object that still exists after its deletion, against a repeated deletion being reported as an outage,
// and against a deletion being reported as done during an outage.
func TestDelete(t *testing.T) {
	p := berylplatform.New()
	c := newStore(t, p)
	assert.NilError(t, c.Put(t.Context(), "tasks/a b", strings.NewReader("x"), 1))
	assert.NilError(t, p.SetFaults(t.Context(), berylplatform.Faults{
		Objects: berylplatform.ServiceFaults{Outage: berylplatform.OutageUnavailable},
	}))
	_, unavailable := errors.AsType[*beryllatch.UnavailableError](c.Delete(t.Context(), "tasks/a b"))
	assert.Assert(t, unavailable)
	assert.NilError(t, p.SetFaults(t.Context(), berylplatform.Faults{}))
	for range 2 {
		assert.NilError(t, c.Delete(t.Context(), "tasks/a b"))
	}
	_, err := c.Get(t.Context(), "tasks/a b")
	_, missing := errors.AsType[*berylobject.NotFoundError](err)
	assert.Assert(t, missing, "got %v", err)
}

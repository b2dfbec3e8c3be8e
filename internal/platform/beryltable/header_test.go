package beryltable_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch/internal/platform/berylcall"
	"github.com/beryllatch/beryllatch/internal/platform/beryltable"
)

// Guards against calls with the optional headers of the SDK, and against a signature that covers a removed header.
func TestShortHeaders(t *testing.T) {
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	_, err := beryltable.New(berylcall.WithEndpoint(s.URL)).Get(t.Context(), key("a"))
	assert.NilError(t, err)
	assert.Equal(t, got.Get("User-Agent"), "beryllatch")
	signed := "SignedHeaders=accept-encoding;content-length;content-type;host;x-amz-date;x-amz-target,"
	assert.Assert(t, strings.Contains(got.Get("Authorization"), signed), got.Get("Authorization"))
	for name := range got {
		assert.Assert(t, !strings.HasPrefix(name, "Amz-Sdk"), name)
	}
}

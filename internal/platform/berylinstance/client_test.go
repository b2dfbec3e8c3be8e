package berylinstance_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/platform/berylinstance"
	"github.com/beryllatch/beryllatch/internal/standin/berylplatform"
)

// Guards against an outage of the instance list being taken for an empty fleet.
func TestInstances(t *testing.T) {
	for _, tc := range []struct {
		name   string
		outage string
	}{
		{"serving", ""},
		{"refused", berylplatform.OutageRefuse},
		{"503", berylplatform.OutageUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := berylplatform.New()
			assert.NilError(t, p.SetInstance("10.0.0.1:80", berylinstance.StateLive, nil))
			assert.NilError(t, p.SetInstance("10.0.0.2:80", berylinstance.StateLeaving, nil))
			server, err := p.Listen(t.Context(), berylplatform.ServiceInstances, "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { assert.NilError(t, server.Close()) }()
			f := berylplatform.Faults{Instances: berylplatform.ServiceFaults{Outage: tc.outage}}
			assert.NilError(t, p.SetFaults(t.Context(), f))
			got, err := berylinstance.New(berylinstance.WithURL("http://" + server.Address() + "/instances")).Instances(t.Context())
			if tc.outage != "" {
				_, ok := errors.AsType[*beryllatch.UnavailableError](err)
				assert.Assert(t, ok, "got %v", err)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, map[string]beryllatch.InstanceStatus{
				"10.0.0.1:80": {Address: "10.0.0.1:80"},
				"10.0.0.2:80": {Address: "10.0.0.2:80", Leaving: true},
			})
		})
	}
}

// Guards against a changed list that is not read again, and against the transfer of an unchanged list.
func TestInstancesUnchanged(t *testing.T) {
	p := berylplatform.New()
	assert.NilError(t, p.SetInstance("10.0.0.1:80", berylinstance.StateLive, nil))
	var status []int
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		p.Instances().ServeHTTP(rec, r)
		status = append(status, rec.Code)
		w.Header().Set("ETag", rec.Header().Get("ETag"))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer s.Close()
	c := berylinstance.New(berylinstance.WithURL(s.URL + "/instances"))
	for n, want := range []bool{false, false, true} {
		if n == 2 {
			assert.NilError(t, p.SetInstance("10.0.0.1:80", berylinstance.StateLeaving, nil))
		}
		got, err := c.Instances(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, got["10.0.0.1:80"].Leaving, want)
	}
	assert.DeepEqual(t, status, []int{http.StatusOK, http.StatusNotModified, http.StatusOK})
}

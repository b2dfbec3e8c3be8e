package berylinstance_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/platform/berylinstance"
)

// Guards against a malformed list being taken for a fleet from which instances have gone.
func TestDecode(t *testing.T) {
	status := func(leaving bool) beryllatch.InstanceStatus {
		return beryllatch.InstanceStatus{Address: "10.0.0.1:80", Leaving: leaving}
	}
	for _, tc := range []struct {
		name string
		in   string
		want map[string]beryllatch.InstanceStatus
		// group is the group that the error names if want is nil.
		group int
	}{
		{"empty", `[]`, map[string]beryllatch.InstanceStatus{}, 0},
		{
			"live", `[{"targets":["10.0.0.1:80"],"labels":{"__meta_state":"live","other":"x"}}]`,
			map[string]beryllatch.InstanceStatus{"10.0.0.1:80": status(false)},
			0,
		},
		{
			"leaving in either group", `[{"targets":["10.0.0.1:80"],"labels":{"__meta_state":"leaving"}},` +
				`{"targets":["10.0.0.1:80"],"labels":{"__meta_state":"live"}}]`,
			map[string]beryllatch.InstanceStatus{"10.0.0.1:80": status(true)},
			0,
		},
		{"null", `null`, nil, -1},
		{"truncated", `[{"targets":["10.0.0.1:80"]`, nil, -1},
		{"trailing data", `[] []`, nil, -1},
		{"not a list", `{}`, nil, -1},
		{"no state", `[{"targets":["10.0.0.1:80"]}]`, nil, 0},
		{"unknown state", `[{"targets":[],"labels":{"__meta_state":"Live"}}]`, nil, 0},
		{"no port", `[{"targets":["10.0.0.1"],"labels":{"__meta_state":"live"}}]`, nil, 0},
		{"port out of range", `[{"targets":["10.0.0.1:70000"],"labels":{"__meta_state":"live"}}]`, nil, 0},
		{"no host", `[{"targets":[":80"],"labels":{"__meta_state":"live"}}]`, nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := berylinstance.Decode([]byte(tc.in))
			if tc.want == nil {
				malformed, ok := errors.AsType[*berylinstance.MalformedListError](err)
				assert.Assert(t, ok, "got %v", err)
				assert.Equal(t, malformed.Group, tc.group)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// Guards against a panic, an error of another type, and an entry whose key differs from its address.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"targets":["10.0.0.1:80"],"labels":{"__meta_state":"live"}}]`))
	f.Add([]byte(`[{"targets":["[::1]:80"],"labels":{"__meta_state":"leaving"}},{}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := berylinstance.Decode(b)
		if err != nil {
			_, ok := errors.AsType[*berylinstance.MalformedListError](err)
			assert.Assert(t, ok, "got %v", err)
			assert.Assert(t, got == nil)
			return
		}
		for a, s := range got {
			assert.Equal(t, a, s.Address)
		}
	})
}

package berylconfig

import (
	"testing"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// Guards against a document that changes when it is encoded and decoded, and against a panic on a damaged row.
func FuzzDecode(f *testing.F) {
	c := beryllatch.Config{}.WithTeam(beryllatch.Team{Name: "red", Weight: 1, Ceiling: 2}).WithVersion(3)
	value, err := encode(c)
	assert.NilError(f, err)
	got, err := decode(value)
	assert.NilError(f, err)
	assert.DeepEqual(f, got, c)
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add([]byte("not a document"))
	f.Fuzz(func(_ *testing.T, value []byte) {
		_, _ = decode(value)
	})
}

package berylsettings

import (
	"bytes"
	"os"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
)

// Guards against a reference page that differs from the settings; go generate rewrites the page.
func TestPageUpToDate(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, WritePage(&out))
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	assert.NilError(t, err)
	assert.Equal(t, out.String(), string(page))
}

// Guards against a setting whose check, environment variable or description is missing from the page, and against an entry
// in checks for a flag that no longer exists.
func TestEveryFlagIsDescribed(t *testing.T) {
	var d Daemon
	parser, err := kong.New(&d)
	assert.NilError(t, err)
	described := 0
	for _, f := range parser.Model.Flags {
		if f.Name == "help" {
			continue
		}
		described++
		assert.Assert(t, checks[f.Name] != "", "no check of --%s", f.Name)
		assert.Assert(t, len(f.Envs) > 0 && f.Help != "", "--%s", f.Name)
	}
	assert.Equal(t, described, len(checks))
}

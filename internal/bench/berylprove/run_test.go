package berylprove

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestJudge guards against a promise that counts as proved although a test failed or did not run, no test shows it
// broken without its mechanism, or a gap is left.
func TestJudge(t *testing.T) {
	holds, breaks := tests("p", "TestHolds"), tests("p", "TestBreaks")
	all := map[Test]Outcome{holds[0]: Passed, breaks[0]: Passed}
	assert.Equal(t, Judge(Promise{Holds: holds, Breaks: breaks}, all), Proved)
	assert.Equal(t, Judge(Promise{Holds: holds}, all), Partly)
	assert.Equal(t, Judge(Promise{Holds: holds, Breaks: breaks, Gap: "x"}, all), Partly)
	assert.Equal(t, Judge(Promise{Holds: holds, Breaks: breaks}, map[Test]Outcome{holds[0]: Passed}), NotProved)
	assert.Equal(t, Judge(Promise{Holds: holds}, map[Test]Outcome{holds[0]: Failed}), NotProved)
}

// TestPromisesNameTests guards against a promise that names a test which has been renamed or removed.
func TestPromisesNameTests(t *testing.T) {
	for _, p := range Promises() {
		for _, x := range join(p.Holds, p.Breaks) {
			assert.Assert(t, isDeclared(t, x), "%s in %s", x.Name, x.Package)
		}
	}
}

// isDeclared reports whether a test file of the package declares the test.
func isDeclared(t *testing.T, x Test) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("../../..", x.Package, "*_test.go"))
	assert.NilError(t, err)
	for _, f := range files {
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		if strings.Contains(string(b), "func "+x.Name+"(") {
			return true
		}
	}
	return false
}

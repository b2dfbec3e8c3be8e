package berylproblem

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// reasons returns the values of the Reason constants that the root package declares.
func reasons(t *testing.T) []beryllatch.Reason {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "../../../refusal.go", nil, 0)
	assert.NilError(t, err)
	var out []beryllatch.Reason
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(v.Names[0].Name, "Reason") {
			return true
		}
		value, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		out = append(out, beryllatch.Reason(value))
		return true
	})
	assert.Assert(t, len(out) > 0)
	return out
}

// Guards against a reason that is missing in the table of refusals in docs/API.md, or is listed there with a wrong
// status.
func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/API.md")
	assert.NilError(t, err)
	_, refusals, ok := strings.Cut(string(page), "\n## Refusals\n")
	assert.Assert(t, ok)
	for _, r := range reasons(t) {
		status := Status(beryllatch.Refusal{Reason: r, RunState: beryllatch.RunStateNotRun})
		row := fmt.Sprintf("(?m)^\\|[^|]*`%s`[^|]*\\| %d \\|", regexp.QuoteMeta(string(r)), status)
		assert.Assert(t, regexp.MustCompile(row).MatchString(refusals), "no row of %s with status %d", r, status)
	}
}

package berylcommand

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylplan"
	"gotest.tools/v3/assert"
)

// TestDecodeAnswersStrict guards against misspelt or repeated fields, trailing data and invalid values that are
// accepted.
func TestDecodeAnswersStrict(t *testing.T) {
	for doc, want := range map[string]string{
		`{"user": "a", "users": "b"}`:                       `json: unknown field "users"`,
		`{"user": "a", "user": "b"}`:                        "user: appears twice",
		`{"user": "a", "User": "b"}`:                        "User: appears twice",
		`{"work": [{"name": "x"}, {"name": 1, "name": 2}]}`: "work[1].name: appears twice",
		`{"user": "a"} {}`:                                  "there is more data after the JSON value",
		`{"user": ""}`:                                      `user: must match ^[a-z0-9][a-z0-9._-]{0,62}$, got ""`,
	} {
		_, err := decodeAnswers([]byte(doc))
		assert.Error(t, err, want)
	}
}

// FuzzDecodeAnswers guards against answers that crash the decoder, and against accepted answers whose configuration is
// invalid or cannot be encoded, or that change when they are encoded and decoded again.
func FuzzDecodeAnswers(f *testing.F) {
	for _, name := range []string{"rimwise", "papelera"} {
		doc, err := os.ReadFile("../../../examples/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(doc)
	}
	f.Add([]byte(`{"user":"a","data_centres":[{"name":"d"}],"work":[{"name":"w","per_minute":1e-300}]}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		a, err := decodeAnswers(doc)
		if err != nil {
			return
		}
		p, err := berylplan.PlanAnswers(a)
		assert.NilError(t, err)
		_, err = p.Apply(beryllatch.Config{})
		assert.NilError(t, err)
		_, err = encodePlan(p)
		assert.NilError(t, err)
		encoded, err := json.Marshal(a)
		assert.NilError(t, err)
		decoded, err := decodeAnswers(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, a, decoded)
	})
}

package berylproblem

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// Guards against a Retry-After header on a refusal that a repeat cannot change, and against its absence on any other.
func TestRetryAfter(t *testing.T) {
	for reason, want := range map[beryllatch.Reason]string{
		beryllatch.ReasonKeyReused:         "",
		beryllatch.ReasonAnswerNotKept:     "",
		beryllatch.ReasonRequestInProgress: "1",
		beryllatch.ReasonQueueFull:         "1",
	} {
		w := httptest.NewRecorder()
		Write(w, "id", beryllatch.Refusal{Reason: reason, RetryAfter: 500 * time.Millisecond})
		assert.Equal(t, w.Header().Get("Retry-After"), want, string(reason))
		var p Problem
		assert.NilError(t, json.NewDecoder(w.Body).Decode(&p))
		assert.Equal(t, p.RetryAfterMS > 0, want != "", string(reason))
	}
}

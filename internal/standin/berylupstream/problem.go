package berylupstream

import (
	"encoding/json"
	"net/http"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// refuse answers with problem details and the run state "not run".
func refuse(w http.ResponseWriter, status int, reason, detail string) {
	w.Header().Set(berylworker.HeaderRunState, string(beryllatch.RunStateNotRun))
	problem(w, status, reason, detail)
}

// problem answers with problem details and without a run state.
func problem(w http.ResponseWriter, status int, reason, detail string) {
	b := problemBody(status, reason, detail)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func problemBody(status int, reason, detail string) []byte {
	// Strings and numbers always encode.
	b, _ := json.Marshal(map[string]any{
		"type": "about:blank", "title": http.StatusText(status), "status": status, "reason": reason, "detail": detail,
	})
	return b
}

// decodeStrict decodes a JSON body and reports whether it is valid; if not, it has answered the call with 400.
func decodeStrict(w http.ResponseWriter, r *http.Request, v any) bool {
	err := berylreply.DecodeStrict(w, r, v)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	return err == nil
}

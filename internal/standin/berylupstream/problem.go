package berylupstream

import (
	"encoding/json"
	"net/http"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// refuse answers that the request has not been run, with problem details.
func refuse(w http.ResponseWriter, status int, reason, detail string) {
	w.Header().Set(berylworker.HeaderRunState, string(beryllatch.RunStateNotRun))
	problem(w, status, reason, detail)
}

// problem answers with problem details that say nothing about the run state.
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

// decodeStrict reads a JSON body, and refuses the call if it can't.
func decodeStrict(w http.ResponseWriter, r *http.Request, v any) bool {
	err := berylreply.DecodeStrict(w, r, v)
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	return err == nil
}

package berylupstream

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// maxControlBytes bounds the body of a call on the test side.
const maxControlBytes = 1 << 20

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

// decodeStrict reads a JSON body and refuses unknown fields and trailing data.
func decodeStrict(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("more than one JSON value")
	}
	if err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

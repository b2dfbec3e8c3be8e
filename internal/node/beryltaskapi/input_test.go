package beryltaskapi

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against headers that cause a panic, and against a negative deadline that is accepted.
func FuzzParseOffer(f *testing.F) {
	f.Add("Bearer x", "k", "true", "100", "5")
	f.Fuzz(func(t *testing.T, auth, key, idempotent, deadline, length string) {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		r.Header = http.Header{
			"Authorization": {auth}, "Idempotency-Key": {key}, "Beryllatch-Idempotent": {idempotent},
			"Beryllatch-Deadline-Ms": {deadline}, "Content-Length": {length},
		}
		submission, err := parseSubmission(r)
		if err == nil && submission.Deadline < 0 {
			t.Fatalf("accepted %+v", submission)
		}
	})
}

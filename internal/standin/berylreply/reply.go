package berylreply

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxControlBytes bounds the body of a call on the test side.
const maxControlBytes = 1 << 20

// DecodeStrict reads a JSON body and refuses unknown fields and trailing data.
func DecodeStrict(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("more than one JSON value")
	}
	return err
}

// WriteJSON answers with the status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, contentType string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// The client may be gone; its call has had its effect all the same.
	_, _ = w.Write(b)
}

// Cut closes the connection without a further byte.
// http.ErrAbortHandler would first wait for a body that the client holds back until it is told to continue.
func Cut(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = c.Close()
}

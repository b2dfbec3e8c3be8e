package berylreply

import (
	"encoding/json"
	"errors"
	"net/http"
)

// maxControlBytes limits the body of a call with which a test controls a stand-in.
const maxControlBytes = 1 << 20

// DecodeStrict decodes a JSON body; unknown fields and trailing data are errors.
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
	// Writing fails if the client has disconnected; its call has taken effect all the same.
	_, _ = w.Write(b)
}

// CloseConnection closes the connection of a request without sending another byte. Panicking with http.ErrAbortHandler
// would first wait for the request body, which a client with "Expect: 100-continue" holds back.
func CloseConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = c.Close()
}

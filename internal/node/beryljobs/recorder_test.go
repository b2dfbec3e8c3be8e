package beryljobs

import (
	"net/http"
	"net/http/httptest"
)

// recorder records a handler's answer as an HTTP response.
type recorder struct{ *httptest.ResponseRecorder }

func newRecorder() recorder { return recorder{httptest.NewRecorder()} }

func (r recorder) response(req *http.Request) *http.Response {
	resp := r.Result()
	resp.Request = req
	return resp
}

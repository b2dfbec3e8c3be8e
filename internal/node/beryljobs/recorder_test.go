package beryljobs

import (
	"net/http"
	"net/http/httptest"
)

// recorder turns a handler's answer into a response.
type recorder struct{ *httptest.ResponseRecorder }

func newRecorder() recorder { return recorder{httptest.NewRecorder()} }

func (r recorder) response(req *http.Request) *http.Response {
	resp := r.Result()
	resp.Request = req
	return resp
}

package berylplatform

import (
	"bytes"
	"crypto/md5" //nolint:gosec // The S3 protocol defines the ETag so.
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxObjectBytes limits the size of an object, so that a test cannot fill the memory.
const maxObjectBytes = 64 << 20

// objects serves PutObject, GetObject, HeadObject and DeleteObject with path-style addresses.
type objects struct {
	mu     sync.Mutex
	stored map[string]object
}

type object struct {
	data []byte
	etag string
	at   time.Time
}

func newObjects() *objects { return &objects{stored: make(map[string]object)} }

// ServeHTTP executes one call.
func (s *objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	bucket, key, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !ok || bucket == "" || key == "" {
		s3Error(w, http.StatusNotImplemented, "NotImplemented", "only calls for objects are supported")
		return
	}
	name := bucket + "/" + key
	switch r.Method {
	case http.MethodPut:
		s.put(w, r, name)
	case http.MethodGet, http.MethodHead:
		s.get(w, r, name)
	case http.MethodDelete:
		s.mu.Lock()
		delete(s.stored, name)
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		s3Error(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "unsupported method")
	}
}

func (s *objects) put(w http.ResponseWriter, r *http.Request, name string) {
	if strings.Contains(r.Header.Get("Content-Encoding"), "aws-chunked") {
		s3Error(w, http.StatusNotImplemented, "NotImplemented", "aws-chunked bodies are not supported")
		return
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil || (r.ContentLength >= 0 && int64(len(b)) != r.ContentLength && len(b) <= maxObjectBytes) {
		s3Error(w, http.StatusBadRequest, "IncompleteBody", "body could not be read to its declared length")
		return
	}
	if len(b) > maxObjectBytes {
		s3Error(w, http.StatusBadRequest, "EntityTooLarge", "object is too large")
		return
	}
	sum := md5.Sum(b) //nolint:gosec // The S3 protocol defines the ETag so.
	etag := `"` + hex.EncodeToString(sum[:]) + `"`
	s.mu.Lock()
	s.stored[name] = object{data: b, etag: etag, at: time.Now()}
	s.mu.Unlock()
	w.Header().Set("ETag", etag)
	w.WriteHeader(http.StatusOK)
}

func (s *objects) get(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	o, ok := s.stored[name]
	s.mu.Unlock()
	if !ok {
		s3Error(w, http.StatusNotFound, "NoSuchKey", "object doesn't exist")
		return
	}
	w.Header().Set("ETag", o.etag)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(o.data)))
	w.Header().Set("Last-Modified", o.at.UTC().Format(http.TimeFormat))
	w.WriteHeader(http.StatusOK)
	if r.Method == http.MethodGet {
		_, _ = io.Copy(w, bytes.NewReader(o.data))
	}
}

func s3Error(w http.ResponseWriter, status int, code, message string) {
	b, err := xml.Marshal(struct {
		XMLName struct{} `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: message})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

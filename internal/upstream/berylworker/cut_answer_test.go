package berylworker_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch/internal/node/berylcaller"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

const (
	// bufferedSize is the size of an answer that the callers' handler buffers completely.
	bufferedSize = 3000
	// streamedSize is the size of an answer that is too large for the buffer, and is streamed.
	streamedSize = 2 << 20
)

// framings holds the ways in which an answer can mark its end. Each function returns the header that announces the
// framing and the framed body.
var framings = map[string]func(body string) (header, framed string){
	"length": func(body string) (string, string) {
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	},
	"chunks": func(body string) (string, string) {
		half := len(body) / 2
		chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
		return "Transfer-Encoding: chunked\r\n", chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n"
	},
	"end of the connection": func(body string) (string, string) { return "", body },
}

// undetectedTruncations truncates a worker's answers at several positions, for each framing and size, and returns the
// cases in which the caller took a part of the answer for the complete one.
func undetectedTruncations(t *testing.T, opts ...berylworker.Option) (undetected []string) {
	t.Helper()
	for name, frame := range framings {
		for _, size := range []int{bufferedSize, streamedSize} {
			complete := strings.Repeat("x", size)
			header, framed := frame(complete)
			for _, cut := range []int{0, 1, size / 2, size - 1, len(framed) - 7, len(framed) - 5, len(framed) - 1} {
				worker := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					c, _, err := http.NewResponseController(w).Hijack()
					assert.Check(t, err)
					id := berylworker.HeaderExecutionID + ": " + r.Header.Get(berylworker.HeaderExecutionID) + "\r\n"
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+header+"\r\n"+framed[:cut])
					_ = c.Close()
				})
				router := mux.NewRouter()
				upstream := &settleOnceUpstream{Client: berylworker.New(opts...)}
				(&berylcaller.Handler{Node: newOneRequestNode(worker), Upstream: upstream}).Register(router)
				if status, body, err := sendRequest(t, router); err == nil && status == http.StatusOK && body != complete {
					undetected = append(undetected, fmt.Sprintf("%s: %d of %d bytes, caller got %d", name, cut, size, len(body)))
				}
			}
		}
	}
	return undetected
}

// sendRequest sends a request to the callers' handler over HTTP and reads the complete answer.
func sendRequest(t *testing.T, h http.Handler) (int, string, error) {
	t.Helper()
	srv := httptest.NewServer(h)
	defer srv.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/queues/price/requests", nil)
	assert.NilError(t, err)
	resp, err := srv.Client().Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a caller that takes a truncated answer for a complete one, buffered or streamed, with each framing.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	undetected := undetectedTruncations(t)
	assert.Equal(t, len(undetected), 0, "%s", strings.Join(undetected, "; "))
}

// Proves that TestCutAnswerIsNoAnswer depends on the check of an answer's length and end: without it, truncated answers
// are taken for complete ones.
func TestCutAnswersNeedTheCheck(t *testing.T) {
	undetected := strings.Join(undetectedTruncations(t, berylworker.WithAcceptTruncated()), "; ")
	for name := range framings {
		for _, size := range []int{bufferedSize, streamedSize} {
			// The length of a streamed answer is passed on to the caller, whose HTTP client then detects the truncation.
			found := strings.Contains(undetected, fmt.Sprintf("%s: %d of %d bytes", name, size-1, size))
			assert.Equal(t, found, name != "length" || size == bufferedSize, "%s, %d bytes", name, size)
		}
	}
	t.Log(undetected)
}

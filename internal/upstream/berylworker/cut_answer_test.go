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
	bufferedAnswer = 3000
	// streamedAnswer is more than the callers' handler buffers.
	streamedAnswer = 2 << 20
)

// framings holds the ways in which an answer tells its end, without which a cut cannot be seen.
var framings = map[string]func(body string) (header, rest string){
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

// undetectedTruncations lets a worker break off its answers after several numbers of bytes, for each framing and size, and returns
// the cases in which a caller took a part for the whole.
func undetectedTruncations(t *testing.T, opts ...berylworker.Option) (taken []string) {
	t.Helper()
	for name, frame := range framings {
		for _, size := range []int{bufferedAnswer, streamedAnswer} {
			whole := strings.Repeat("x", size)
			header, rest := frame(whole)
			for _, cut := range []int{0, 1, size / 2, size - 1, len(rest) - 7, len(rest) - 5, len(rest) - 1} {
				worker := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					c, _, err := http.NewResponseController(w).Hijack()
					assert.Check(t, err)
					id := berylworker.HeaderExecutionID + ": " + r.Header.Get(berylworker.HeaderExecutionID) + "\r\n"
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+header+"\r\n"+rest[:cut])
					_ = c.Close()
				})
				router := mux.NewRouter()
				upstream := &settleOnceUpstream{Client: berylworker.New(opts...)}
				(&berylcaller.Handler{Node: newOneRequestNode(worker), Upstream: upstream}).Register(router)
				if status, body, err := sendRequest(t, router); err == nil && status == http.StatusOK && body != whole {
					taken = append(taken, fmt.Sprintf("%s: %d of %d bytes, caller got %d", name, cut, size, len(body)))
				}
			}
		}
	}
	return taken
}

// sendRequest sends a request to the callers' handler over HTTP and reads the whole answer.
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

// Guards against a caller that takes a part of an answer for the whole, buffered or streamed, however its end is told.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	taken := undetectedTruncations(t)
	assert.Equal(t, len(taken), 0, "%s", strings.Join(taken, "; "))
}

// Guards against a test of cut answers that holds without the check of an answer's length and end.
func TestCutAnswersNeedTheCheck(t *testing.T) {
	taken := strings.Join(undetectedTruncations(t, berylworker.WithAcceptTruncated()), "; ")
	for name := range framings {
		for _, size := range []int{bufferedAnswer, streamedAnswer} {
			// A streamed answer's length is passed on, so that the caller's own check finds the cut.
			found := strings.Contains(taken, fmt.Sprintf("%s: %d of %d bytes", name, size-1, size))
			assert.Equal(t, found, name != "length" || size == bufferedAnswer, "%s, %d bytes", name, size)
		}
	}
	t.Log(taken)
}

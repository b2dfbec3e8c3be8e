package beryloverload

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// client is what a hostile client does on its connection; n is its number. It returns what it then sends over and over, one byte a
// second; nil if nothing.
type client func(n int, c *wire) []byte

// wire is a client's side of a connection. After the first failure, nothing more is sent until redial.
type wire struct {
	net.Conn
	r      *bufio.Reader
	failed bool
	dial   func() (net.Conn, error)
}

// redial replaces a connection that has failed.
func (w *wire) redial() {
	if !w.failed {
		return
	}
	_ = w.Close() // It has failed.
	if c, err := w.dial(); err == nil {
		w.Conn, w.r, w.failed = c, bufio.NewReader(c), false
	}
}

func (w *wire) send(parts ...string) {
	for _, p := range parts {
		if !w.failed {
			w.failed = !send(w.Conn, []byte(p))
		}
	}
}

// answer reads an answer, of whatever status.
func (w *wire) answer() {
	if w.failed || w.SetReadDeadline(time.Now().Add(writeTimeout)) != nil {
		return
	}
	resp, err := http.ReadResponse(w.r, nil)
	if err != nil {
		w.failed = true
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	w.failed = err != nil || resp.Close
}

// attack opens the hostile connections to an address, each with a client.
func attack(t *testing.T, address string, run client) *hostileClients {
	h := &hostileClients{done: make(chan struct{})}
	for n := range connections {
		h.sending.Add(1)
		h.all.Go(func() {
			dial := func() (net.Conn, error) { return (&net.Dialer{}).DialContext(t.Context(), "tcp", address) }
			c, err := dial()
			if err != nil {
				h.sending.Done()
				return
			}
			w := &wire{Conn: c, r: bufio.NewReader(c), dial: dial}
			defer func() { _ = w.Close() }() // The test has ended.
			slow := run(n, w)
			h.sending.Done()
			for i := 0; ; i++ {
				select {
				case <-h.done:
					return
				case <-time.After(time.Second):
				}
				if len(slow) > 0 {
					w.send(string(slow[i%len(slow)]))
				}
			}
		})
	}
	return h
}

// post returns a call with a body of the given length, without the body.
func post(path, authorization string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nContent-Length: %d\r\n\r\n", path, host, authorization, length)
}

// whole returns a call with its body.
func whole(path, authorization, body string) string {
	return post(path, authorization, len(body)) + body
}

// wholeChunked returns a call with its body in chunks of the given size.
func wholeChunked(path, authorization, body string, size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, authorization)
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// list returns a body of size bytes in which as many elements as possible stand between prefix and suffix.
func list(prefix, element, suffix string, size int) string {
	n := (size - len(prefix) - len(suffix) + 1) / (len(element) + 1)
	return prefix + strings.TrimSuffix(strings.Repeat(element+",", n), ",") + suffix
}

// The bodies of complete requests.
var (
	emptySteps   = list(`{"spec":"x","steps":[`, `{}`, `]}`, maxBody)
	oneTaskSteps = list(`{"spec":"x","steps":[`, `{"count":1}`, `]}`, maxBody)
	longAfter    = list(`{"spec":"x","steps":[{"count":1},{"count":1,"after":[`, `0`, `]}]}`, maxBody)
	nestedLists  = strings.Repeat("[", maxBody)
	longSpec     = list(`{"spec":"`, `xxxxxxxxxxxxxxx`, `","steps":[{"count":1,"cpu":9000,"long_running":true}]}`, 60<<10)
	wideStep     = `{"spec":"x","steps":[{"count":10000,"cpu":9000,"mem_mb":1,"estimate_ms":1000}]}`
	manySteps    = list(`{"spec":"x","steps":[`, `{"count":1,"cpu":9000}`, `]}`, 26<<10)
	repeated     = list(`{"spec":"x","repeat_count":1000000000,"steps":[`, `{"count":1,"cpu":9000}`, `]}`, 26<<10)
)

// jobPath returns the path of a job that only this client of this test submits.
func jobPath(n, job int) string { return fmt.Sprintf("/q/%08x%08x", 1<<16+n, job) }

// submits returns a client that submits the given number of jobs one after the other, each with another ID, and then stays.
func submits(body string, jobs int) client {
	return func(n int, w *wire) []byte {
		for i := range jobs {
			w.redial()
			w.send(whole(jobPath(n, i), hostileToken, body))
			w.answer()
		}
		return nil
	}
}

// cancels returns a client that submits jobs and cancels each of them.
func cancels(body string, jobs int) client {
	return func(n int, w *wire) []byte {
		for i := range jobs {
			w.redial()
			w.send(whole(jobPath(n, i), hostileToken, body))
			w.answer()
			w.send(fmt.Sprintf("DELETE %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\n\r\n", jobPath(n, i), host, hostileToken))
			w.answer()
		}
		return nil
	}
}

// unread sends calls in a row without reading an answer.
func unread(n int, w *wire) []byte {
	for i := range 200 {
		w.send(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\n\r\n", jobPath(n, i), host, hostileToken))
	}
	return nil
}

// stops returns a client that sends a request of the kind and stops short of its end.
func stops(k kind, token string, slow bool) client {
	held := 1
	if slow {
		held = slowBytes
	}
	return func(n int, w *wire) []byte {
		r := k.request(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\n", jobPath(n, 0), host, token), held)
		w.send(r.head)
		for range r.count {
			w.send(string(r.piece))
		}
		w.send(string(r.tail))
		if slow {
			return []byte(r.slow)
		}
		return nil
	}
}

// mixed is a crowd in which three of four clients stop short, with a request of any kind, and one of four ends its requests.
func mixed(n int, w *wire) []byte {
	random := rand.New(rand.NewPCG(47, uint64(n)))
	if n%4 == 3 {
		complete := []client{
			submits(emptySteps, 3), submits(oneTaskSteps, 3), submits(longAfter, 3), submits(nestedLists, 3), submits(longSpec, 10),
			submits(wideStep, 10), submits(manySteps, 10), submits(repeated, 3), cancels(manySteps, 10), unread,
		}
		return complete[random.IntN(len(complete))](n, w)
	}
	k := kinds[random.IntN(len(kinds))]
	token := hostileToken
	if random.IntN(2) == 0 {
		token = "Token wrong"
	}
	return stops(k, token, random.IntN(2) == 0)(n, w)
}

// Guards against clients that end requests within the limits of their size, but make the node use far more memory for them than they have
// bytes: while they are decoded, while the jobs are kept, and after these have ended.
func TestCompleteRequests(t *testing.T) {
	program := buildDaemon(t)
	for name, run := range map[string]client{
		"empty steps": submits(emptySteps, 3),
		"empty steps chunked": func(n int, w *wire) []byte {
			w.send(wholeChunked(jobPath(n, 0), hostileToken, emptySteps, 1<<10))
			w.answer()
			return nil
		},
		"steps of one task": submits(oneTaskSteps, 3),
		"long list":         submits(longAfter, 3),
		"nested lists":      submits(nestedLists, 3),
		"long specs":        submits(longSpec, 10),
		"wide steps":        submits(wideStep, 10),
		"many steps":        submits(manySteps, 10),
		"repeated jobs":     submits(repeated, 3),
		"cancelled jobs":    cancels(manySteps, 10),
		"unread answers":    unread,
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) { testClients(t, startNode(t, program), "callers", run) })
	}
}

// Guards against a mix of clients that a node bears one kind at a time, and against limits that leave no memory for the jobs of a busy
// node.
func TestMixedCrowd(t *testing.T) {
	program := buildDaemon(t)
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprintf("busy=%t", busy), func(t *testing.T) {
			n := startNode(t, program)
			if busy {
				n.submitLastingJobs(t)
			}
			testClients(t, n, "callers", mixed)
		})
	}
}

// target is a process under attack.
type target interface {
	address(listener string) string
	running() bool
	checkOrdinaryRequests(t *testing.T, listener string)
	checkBounds(t *testing.T)
}

// testClients checks that a process stays within its bounds and answers ordinary requests while the crowd stays.
func testClients(t *testing.T, n target, listener string, run client) {
	t.Helper()
	n.checkOrdinaryRequests(t, listener)
	h := attack(t, n.address(listener), run)
	defer h.stop()
	h.sending.Wait()
	// Slow clients send their next bytes meanwhile.
	time.Sleep(3 * time.Second)
	n.checkOrdinaryRequests(t, listener)
	n.checkBounds(t)
	assert.Assert(t, n.running(), "the process has ended")
}

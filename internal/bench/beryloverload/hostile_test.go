package beryloverload

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// writeTimeout is after how long a client counts a write as blocked by the node.
const writeTimeout = 10 * time.Second

// request is what a hostile client sends: head, count times piece, and tail. With one byte a second, it then sends the
// bytes of slow over and over.
type request struct {
	head  string
	piece []byte
	count int
	tail  []byte
	slow  string
}

// kind is a kind of hostile connection; request returns the request that begins with head, in which held bytes of a body are not sent.
type kind struct {
	name    string
	hasBody bool
	request func(head string, held int) request
}

const (
	chunk64K    = 64 << 10
	onePerPiece = 1024
)

func spaces(n int) []byte { return bytes.Repeat([]byte(" "), n) }

var kinds = []kind{
	{"body in one piece", true, func(head string, held int) request {
		return request{head: withLength(head), tail: spaces(maxBody - held), slow: " "}
	}},
	{"body in pieces of 4 KB", true, func(head string, held int) request {
		return request{head: withLength(head), piece: spaces(4096), count: maxBody/4096 - 1, tail: spaces(4096 - held), slow: " "}
	}},
	{"chunks of 64 KB", true, func(head string, held int) request {
		piece := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk64K, spaces(chunk64K))
		last := fmt.Appendf(nil, "%x\r\n%s", chunk64K, spaces(chunk64K-held))
		return request{head: chunked(head), piece: piece, count: maxBody/chunk64K - 1, tail: last, slow: " "}
	}},
	{"chunks of 1 byte", true, func(head string, held int) request {
		const one = "1\r\n \r\n"
		piece := bytes.Repeat([]byte(one), onePerPiece)
		return request{head: chunked(head), piece: piece, count: maxBody/onePerPiece - 1, tail: piece[:len(one)*(onePerPiece-held)], slow: one}
	}},
	{"header of 1 MB in one field", false, func(head string, _ int) request {
		return request{head: head + "X-A: ", piece: bytes.Repeat([]byte("a"), 1<<10), count: 1 << 10, slow: "a"}
	}},
	{"header of 512 KB in small fields", false, func(head string, _ int) request {
		const field = "a: b\r\n"
		return request{head: head, piece: bytes.Repeat([]byte(field), 1<<10), count: 512 << 10 / len(field) >> 10, slow: field}
	}},
	{"header over the limit with its end", false, func(head string, _ int) request {
		return request{head: head + "X-A: ", piece: bytes.Repeat([]byte("a"), 1<<10), count: 64, tail: []byte("\r\n\r\n"), slow: "a"}
	}},
	{"1 MB of empty lines", false, func(head string, _ int) request {
		return request{piece: bytes.Repeat([]byte("\r\n"), 512), count: 1 << 10, tail: []byte(head + "\r\n"), slow: "\r\n"}
	}},
}

func withLength(head string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, maxBody)
}

func chunked(head string) string { return head + "Transfer-Encoding: chunked\r\n\r\n" }

// hostileClients are clients that keep their connections open until the end of the test.
type hostileClients struct {
	// sending counts the clients that have neither sent all but the slow bytes nor been refused or blocked.
	sending sync.WaitGroup
	all     sync.WaitGroup
	done    chan struct{}
}

// send reports whether the node has taken the bytes; a node may refuse them.
func send(c net.Conn, b []byte) bool {
	if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := c.Write(b)
	return err == nil
}

func (h *hostileClients) stop() {
	close(h.done)
	h.all.Wait()
}

// slowBytes is how many bytes of a body are held back for clients that send one byte a second, so that the body does not
// end during the test.
const slowBytes = 600

// Guards against clients that use up a node's memory or descriptors, or keep it from answering others, by requests that
// they don't end. Kinds of hostile connections run one at a time, since each has the memory of a node for itself.
func TestHostileConnections(t *testing.T) {
	program := buildDaemon(t)
	for _, k := range kinds {
		listeners, keys := []string{"callers", "readiness", "peers", "metrics"}, []string{""}
		if k.hasBody {
			listeners, keys = []string{"callers"}, []string{"valid key", "wrong key"}
		}
		for _, listener := range listeners {
			for _, key := range keys {
				for _, pace := range []string{"silent", "slow"} {
					name := strings.ReplaceAll(strings.Join([]string{k.name, listener, key, pace}, ","), " ", "_")
					t.Run(strings.ReplaceAll(name, ",,", ","), func(t *testing.T) {
						testKind(t, program, k, listener, key, pace == "slow")
					})
				}
			}
		}
	}
}

func testKind(t *testing.T, program string, k kind, listener, key string, slow bool) {
	token := "Token " + validKey
	if key == "wrong key" {
		token = "Token wrong"
	}
	testClients(t, startNode(t, program), listener, stops(k, token, slow))
}

package beryloverload

import (
	"fmt"
	"strings"
	"testing"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// peerBody is about the largest body that a node reads from another one; several of jobBody fit into its budget.
const (
	peerBody = 4 << 20
	jobBody  = 1 << 20
)

// rpcHead returns the head of a call with a body of the given type and length, without the empty line at its end.
func rpcHead(path, contentType, authorization string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n", path, host, authorization, contentType, length)
}

// rpcs returns a client that makes the same call a few times.
func rpcs(path, contentType, authorization, body string) client {
	return func(_ int, w *wire) []byte {
		for range 3 {
			w.send(rpcHead(path, contentType, authorization, len(body)), "\r\n", body)
			w.answer()
		}
		return nil
	}
}

// stopsRPC returns a client that sends a call without its last byte.
func stopsRPC(path, contentType, authorization, body string) client {
	return func(_ int, w *wire) []byte {
		w.send(rpcHead(path, contentType, authorization, len(body)), "\r\n", body[:len(body)-1])
		return nil
	}
}

const (
	protobufType = "application/protobuf"
	jsonType     = "application/json"
)

// Guards against calls of the peers' listener that take far more memory than they have bytes, or that stop short of their end.
func TestPeerCalls(t *testing.T) {
	program := buildDaemon(t)
	emptyJobSteps, err := proto.Marshal(&berylwire.SubmitJobRequest{
		Job: []byte(list(`{"id":"0000000100000000","queue":"q","team":"t","steps":[`, `{}`, `]}`, jobBody)), PatienceMs: 1000,
	})
	assert.NilError(t, err)
	const submit, commit = berylwire.JobsPathPrefix + "SubmitJob", berylwire.RowsPathPrefix + "CommitRows"
	// A field of no bytes is an empty row.
	emptyRows := strings.Repeat("\x12\x00", peerBody/2)
	for name, run := range map[string]client{
		"job of empty steps": rpcs(submit, protobufType, "", string(emptyJobSteps)),
		"empty rows":         rpcs(commit, protobufType, "", emptyRows),
		"empty rows in JSON": rpcs(commit, jsonType, "", list(`{"puts":[`, `{}`, `]}`, peerBody)),
		"job that stops":     stopsRPC(submit, protobufType, "", string(emptyJobSteps)),
		"rows that stop":     stopsRPC(commit, protobufType, "", emptyRows),
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) { testClients(t, startNode(t, program), "peers", run) })
	}
}

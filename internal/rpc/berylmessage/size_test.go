package berylmessage

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// Guards against messages that take more memory than is charged for them.
func TestRequestBytes(t *testing.T) {
	const n = 100_000
	rows := &berylwire.CommitRowsRequest{}
	changes := &berylwire.ApplyRequest{}
	for range n {
		rows.Puts = append(rows.Puts, &berylwire.StoredRow{})
		changes.Changes = append(changes.Changes, &berylwire.Change{Change: &berylwire.Change_PutPool{PutPool: &berylwire.Pool{}}})
	}
	tasks := &berylwire.ListTasksRequest{States: strings.Split(strings.Repeat("a,", n), ",")}
	for path, m := range map[string]proto.Message{
		berylwire.RowsPathPrefix + "CommitRows": rows, berylwire.OperatorPathPrefix + "Apply": changes,
		berylwire.OperatorPathPrefix + "ListTasks": tasks,
	} {
		for contentType, codec := range map[string]struct {
			encode func(proto.Message) ([]byte, error)
			decode func([]byte, proto.Message) error
		}{
			"application/protobuf": {proto.Marshal, proto.Unmarshal}, "application/json": {protojson.Marshal, protojson.Unmarshal},
		} {
			t.Run(path+" "+contentType, func(t *testing.T) {
				body, err := codec.encode(m)
				assert.NilError(t, err)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, path, http.NoBody)
				assert.NilError(t, err)
				r.Header.Set("Content-Type", contentType)
				var before, after runtime.MemStats
				decoded := m.ProtoReflect().New().Interface()
				runtime.GC()
				runtime.ReadMemStats(&before)
				assert.NilError(t, codec.decode(body, decoded))
				runtime.GC()
				runtime.ReadMemStats(&after)
				taken, estimated := int64(after.HeapAlloc)-int64(before.HeapAlloc), RequestBytes(r, body)
				runtime.KeepAlive(decoded)
				assert.Assert(t, taken <= estimated, "%d bytes are taken, %d estimated", taken, estimated)
			})
		}
	}
}

// Guards against ordinary messages that are refused because of an estimate far above what they take.
func TestOrdinaryRequestBytes(t *testing.T) {
	rows := &berylwire.CommitRowsRequest{}
	for range 45 {
		rows.Puts = append(rows.Puts, &berylwire.StoredRow{Table: "jobs", Part: "fleet", Key: "0000000100000000", Value: make([]byte, 8<<10)})
	}
	body, err := proto.Marshal(rows)
	assert.NilError(t, err)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, berylwire.RowsPathPrefix+"CommitRows", http.NoBody)
	assert.NilError(t, err)
	r.Header.Set("Content-Type", "application/protobuf")
	assert.Assert(t, RequestBytes(r, body) < int64(len(body))/10)
}

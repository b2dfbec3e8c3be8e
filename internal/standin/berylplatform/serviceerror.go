package berylplatform

import (
	"encoding/json"
	"hash/crc32"
	"net/http"
	"strconv"
)

// serviceError is an error answer of the table service.
type serviceError struct {
	Type    string
	Message string
	Reasons []reason
}

// reason is the cancellation reason of one action of a transaction; its code is "None" if the condition was fulfilled.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

func throttled() *serviceError {
	return &serviceError{Type: "ProvisionedThroughputExceededException", Message: "The rate limit of the table is exceeded"}
}

func invalid(message string) *serviceError {
	return &serviceError{Type: "ValidationException", Message: message}
}

func (e *serviceError) write(w http.ResponseWriter) {
	writeTableAnswer(w, http.StatusBadRequest, struct {
		Type                string   `json:"__type"`
		Message             string   `json:"message"`
		CancellationReasons []reason `json:",omitempty"`
	}{"com.amazonaws.dynamodb.v20120810#" + e.Type, e.Message, e.Reasons})
}

// writeTableAnswer writes v as JSON with a checksum header, as the real service does, so that a client can detect a
// damaged answer.
func writeTableAnswer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonAmzVersion)
	w.Header().Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(b)), 10))
	w.WriteHeader(status)
	// Writing fails if the client has disconnected; its call has taken effect all the same.
	_, _ = w.Write(b)
}

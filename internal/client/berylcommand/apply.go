package berylcommand

import (
	"io"
	"os"

	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"google.golang.org/protobuf/encoding/protojson"
)

// maxFileSize is the largest size in bytes of a file that the client reads; a node accepts no larger call either.
const maxFileSize = 1 << 20

// applyCommand makes the changes listed in a file.
type applyCommand struct {
	File            string `arg:"" type:"path" help:"JSON file with a list of changes under the key changes; - reads the standard input."`
	ExpectedVersion uint64 `help:"Refuse unless the configuration has this version; 0 accepts any."`
}

// Help gives examples.
func (*applyCommand) Help() string {
	return `Example:
  beryllatch apply changes.json
with changes.json
  {"changes": [{"put_team": {"name": "wheels", "weight": 3, "ceiling": 40}}]}`
}

// Run sends the changes.
func (cmd *applyCommand) Run(s *session) error {
	doc, err := s.readFile(cmd.File)
	if err != nil {
		return err
	}
	q := &berylwire.ApplyRequest{}
	if err := protojson.Unmarshal(doc, q); err != nil {
		return usagef("%s: %w", cmd.File, err)
	}
	if len(q.GetChanges()) == 0 {
		return usagef("%s: holds no changes", cmd.File)
	}
	if s.settings.OperationID != "" {
		q.OperationId = s.settings.OperationID
	}
	if cmd.ExpectedVersion != 0 {
		q.ExpectedVersion = cmd.ExpectedVersion
	}
	return s.apply(q, extraOutput{})
}

// readFile reads a file of at most maxFileSize bytes, or the standard input if the name is "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		return readBounded(name, s.stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, &usageError{err: err}
	}
	defer func() { _ = f.Close() }()
	return readBounded(name, f)
}

func readBounded(name string, r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxFileSize+1))
	if err != nil {
		return nil, &usageError{err: err}
	}
	if len(b) > maxFileSize {
		return nil, usagef("%s: is larger than %d bytes", name, maxFileSize)
	}
	return b, nil
}

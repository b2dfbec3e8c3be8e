package berylconfig

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"

	"github.com/beryllatch/beryllatch"
	"github.com/rotisserie/eris"
)

// Store reads and writes the configuration through a table.
type Store struct{ Table beryllatch.Table }

// maxDocumentBytes bounds the decompressed document, so that a damaged row cannot exhaust the memory.
const maxDocumentBytes = 16 << 20

// The version is also kept in a head row without a value: every node reads the head each second, and the document only
// after a change.
var (
	headKey     = beryllatch.RowKey{Partition: "config", Sort: "head"}
	documentKey = beryllatch.RowKey{Partition: "config", Sort: "document"}
)

// HeadVersion returns the version of the stored configuration, or 0 if there is none.
func (s Store) HeadVersion(ctx context.Context) (uint64, error) {
	row, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return 0, eris.Wrap(err, "read configuration head")
	}
	return row.Version, nil
}

// Read returns the stored configuration, or the zero Config if there is none.
func (s Store) Read(ctx context.Context) (beryllatch.Config, error) {
	row, err := s.Table.Get(ctx, documentKey)
	if err != nil {
		return beryllatch.Config{}, eris.Wrap(err, "read configuration document")
	}
	if row.Version == 0 {
		return beryllatch.Config{}, nil
	}
	c, err := decode(row.Value)
	if err != nil {
		return beryllatch.Config{}, err
	}
	return c.WithVersion(row.Version), nil
}

// Write stores c as version expect+1 if the stored version is expect. It returns the errors of Table.Transact.
func (s Store) Write(ctx context.Context, c beryllatch.Config, expect uint64) error {
	value, err := encode(c.WithVersion(expect + 1))
	if err != nil {
		return err
	}
	return s.Table.Transact(
		ctx,
		beryllatch.RowWrite{Row: beryllatch.Row{Key: headKey}, Expect: expect},
		beryllatch.RowWrite{Row: beryllatch.Row{Key: documentKey, Value: value}, Expect: expect},
	)
}

func encode(c beryllatch.Config) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	return b.Bytes(), nil
}

func decode(value []byte) (beryllatch.Config, error) {
	var c beryllatch.Config
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return c, eris.Wrap(err, "decompress configuration")
	}
	if err := json.NewDecoder(io.LimitReader(r, maxDocumentBytes)).Decode(&c); err != nil {
		return c, eris.Wrap(err, "decode configuration")
	}
	return c, nil
}

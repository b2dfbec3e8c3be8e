package beryldaemon

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/rotisserie/eris"
)

// maxNodeRow bounds a decompressed node row in bytes.
const maxNodeRow = 1 << 20

// The writers and readers are used again, since a new writer takes about 800 KB and a node row is written each second.
var (
	rowWriters = sync.Pool{New: func() any {
		// The level is valid, so that there is no error.
		w, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
		return w
	}}
	rowReaders = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// EncodeNodeRow returns the stored value of a node row. It is compressed, since every node reads the rows of all nodes,
// and each lists all incarnations: uncompressed, 36 rows take 62 KB a read.
func EncodeNodeRow(row berylreducer.NodeRow) ([]byte, error) {
	w := rowWriters.Get().(*flate.Writer)
	defer rowWriters.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if err := json.NewEncoder(w).Encode(row); err != nil {
		return nil, eris.Wrap(err, "encode node row")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "encode node row")
	}
	return b.Bytes(), nil
}

// DecodeNodeRow reads the stored value of a node row.
func DecodeNodeRow(value []byte) (berylreducer.NodeRow, error) {
	var row berylreducer.NodeRow
	r := rowReaders.Get().(io.ReadCloser)
	defer rowReaders.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(value), nil); err != nil {
		return row, eris.Wrap(err, "decode node row")
	}
	err := json.NewDecoder(io.LimitReader(r, maxNodeRow)).Decode(&row)
	return row, eris.Wrap(err, "decode node row")
}

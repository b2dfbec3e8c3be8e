package beryltask

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
)

// partSize is the size in bytes of the objects that a large result is split into. An object is stored with its size,
// but the length of a result is not known in advance. Each part is therefore held in memory until it is complete.
const partSize = 1 << 20

// collectResult reads a result from its worker. It returns a small one in the event, and stores a large one as objects.
func (x *Executor) collectResult(ctx context.Context, e berylreducer.CollectResult) berylreducer.Event {
	out := berylreducer.ResultCollected{ID: e.ID, Fence: e.Fence}
	body, err := x.runner.TaskResult(ctx, e.Address, e.ID)
	if err != nil {
		out.WorkerFailed = true
		return out
	}
	defer func() { _ = body.Close() }()
	head, err := io.ReadAll(io.LimitReader(body, MaxInline+1))
	switch {
	case err != nil:
		out.WorkerFailed = true
	case len(head) <= MaxInline:
		out.Result = head
	default:
		out.Object = "result/" + e.ID + "." + strconv.FormatUint(e.Fence, 10)
		if err := scheduleIfUnreferenced(ctx, x.table, x.now().Wall, deletion{Task: e.ID, Object: out.Object, Split: true}); err != nil {
			out.StoreFailed = true
			return out
		}
		out.Parts, err = x.storeParts(ctx, out.Object, io.MultiReader(bytes.NewReader(head), body))
		var store *storeError
		out.StoreFailed = errors.As(err, &store)
		out.WorkerFailed = err != nil && !out.StoreFailed
	}
	return out
}

// storeError reports an object that could not be stored.
type storeError struct{ err error }

func (e *storeError) Error() string { return "store object: " + e.err.Error() }

func (e *storeError) Unwrap() error { return e.err }

// storeParts stores a stream of unknown length as objects of at most partSize bytes and returns their number.
func (x *Executor) storeParts(ctx context.Context, name string, r io.Reader) (int, error) {
	buf := make([]byte, partSize)
	for part := 0; ; part++ {
		n, last, err := readPart(r, buf)
		if err != nil {
			return 0, err
		}
		if n == 0 {
			return part, nil
		}
		if err := x.store.Put(ctx, PartName(name, part), bytes.NewReader(buf[:n]), int64(n)); err != nil {
			return 0, &storeError{err}
		}
		if last {
			return part + 1, nil
		}
	}
}

// readPart reads until the buffer is full or the stream has ended. Unlike io.ReadFull, it returns an error for a stream
// that was truncated, and none for a last part that does not fill the buffer.
func readPart(r io.Reader, buf []byte) (n int, last bool, err error) {
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// PartName returns the object name of one part of a large result; parts are numbered from 0.
func PartName(object string, part int) string { return object + "/" + strconv.Itoa(part) }

// CopyResult writes the result of a finished task to w.
func CopyResult(ctx context.Context, s beryllatch.ObjectStore, t beryllatch.Task, w io.Writer) error {
	if t.ResultObject == "" {
		_, err := w.Write(t.Result)
		return err
	}
	for part := range t.ResultParts {
		if err := copyObject(ctx, s, PartName(t.ResultObject, part), w); err != nil {
			return err
		}
	}
	return nil
}

func copyObject(ctx context.Context, s beryllatch.ObjectStore, name string, w io.Writer) error {
	r, err := s.Get(ctx, name)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	_, err = io.Copy(w, r)
	return err
}

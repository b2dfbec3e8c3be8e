// Rig plays the cases of the third review against real processes of the system, on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var began = time.Now()

// record is what was sent, answered and run.
type record struct {
	mu sync.Mutex
	f  *os.File
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f ", time.Since(began).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// serve serves a handler at a free port and returns its address.
func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String(), nil
}

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases holds the cases by the name of their folder; trouble is false for a run without the disruption.
var cases = map[string]func(ctx context.Context, rec *record, dir string, trouble bool) (int, error){}

func main() {
	os.Exit(run1())
}

func run1() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return notRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return notRun
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("RIG_KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(filepath.Clean(dir))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 115*time.Second)
	defer cancel()
	rec := &record{f: f}
	code, err := play(ctx, rec, dir, os.Getenv("TROUBLE") != "0")
	if errors.Is(context.Cause(ctx), context.Canceled) && err == nil {
		err = errors.New("the run was interrupted")
	}
	if err != nil {
		rec.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.write("exit code %d", code)
	fmt.Println("exit code", code)
	return code
}

package berylfleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/rotisserie/eris"
)

// headerTimeout is how long a caller may take to send the headers of a call.
const headerTimeout = 3 * time.Second

// Serve serves the handler on a loopback address until ctx ends, and returns the address.
func Serve(ctx context.Context, h http.Handler) (string, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	intake := berylintake.New(berylintake.LimitsFor(0, berylintake.ProcessFDs()))
	intake.Protect(server)
	go func() { _ = server.Serve(intake.Listen(ln, false)) }() // It ends with ctx.
	go func() {
		<-ctx.Done()
		_ = server.Close() // Nobody waits for the calls that are left.
	}()
	return ln.Addr().String(), nil
}

package berylcommand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// session is one run of the client.
type session struct {
	ctx      context.Context
	settings settings
	parser   *kong.Kong
	stdin    io.Reader
	stdout   io.Writer
	stderr   io.Writer
	random   io.Reader
}

// clients returns a client for every address.
func (s *session) clients() ([]berylwire.Operator, error) {
	token, err := s.token()
	if err != nil {
		return nil, err
	}
	t, err := s.settings.TLS.transport()
	if err != nil {
		return nil, err
	}
	h := &http.Client{Transport: &bearer{token: token, next: t}, Timeout: s.settings.Timeout}
	var out []berylwire.Operator
	for _, a := range s.settings.Address {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		if err := checkAddress(a, s.settings.AllowPlainText); err != nil {
			return nil, err
		}
		out = append(out, berylwire.NewOperatorProtobufClient(a, h))
	}
	return out, nil
}

func (s *session) token() (string, error) {
	if s.settings.TokenFile == "" {
		return "", usagef("--token-file or BERYLLATCH_TOKEN_FILE must name the file with the operator token")
	}
	b, err := os.ReadFile(s.settings.TokenFile)
	if err != nil {
		return "", &usageError{err: err}
	}
	return strings.TrimSpace(string(b)), nil
}

// bearer adds the operator token to every call.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip sends the request with the token.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}

// read makes a call that changes nothing at the first node that answers it.
func read[T any](s *session, call func(context.Context, berylwire.Operator) (T, error)) (T, error) {
	var zero T
	clients, err := s.clients()
	if err != nil {
		return zero, err
	}
	var last error
	for _, c := range clients {
		v, err := call(s.ctx, c)
		if err == nil {
			return v, nil
		}
		if reason, ok := refusal(err); ok {
			return zero, &refusedError{reason: reason}
		}
		last = err
	}
	return zero, &unreachableError{addresses: s.settings.Address, err: last}
}

// config reads the configuration.
func (s *session) config() (beryllatch.Config, error) {
	var c beryllatch.Config
	v, err := read(s, func(ctx context.Context, o berylwire.Operator) (*berylwire.GetConfigResponse, error) {
		return o.GetConfig(ctx, &berylwire.GetConfigRequest{})
	})
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(v.GetConfig(), &c)
}

// status reads the state of the fleet.
func (s *session) status() (*berylwire.GetStatusResponse, error) {
	return read(s, func(ctx context.Context, o berylwire.Operator) (*berylwire.GetStatusResponse, error) {
		return o.GetStatus(ctx, &berylwire.GetStatusRequest{})
	})
}

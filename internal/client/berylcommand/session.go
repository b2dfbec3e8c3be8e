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

// session holds the settings, streams and other inputs of one command.
type session struct {
	ctx      context.Context
	settings settings
	parser   *kong.Kong
	stdin    io.Reader
	stdout   io.Writer
	stderr   io.Writer
	// random is the source of key secrets.
	random io.Reader
}

// clients returns an API client for each address of the settings.
func (s *session) clients() ([]berylwire.Operator, error) {
	token, err := s.token()
	if err != nil {
		return nil, err
	}
	t, err := s.settings.TLS.transport()
	if err != nil {
		return nil, err
	}
	h := &http.Client{Transport: &bearerTransport{token: token, next: t}, Timeout: s.settings.Timeout}
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

// token reads the operator token from its file.
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

// bearerTransport adds the operator token to each request.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip sends the request with the token.
func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}

// query makes a read-only call to one node after the other, until one answers or refuses it.
func query[T any](s *session, call func(context.Context, berylwire.Operator) (T, error)) (T, error) {
	var zero T
	clients, err := s.clients()
	if err != nil {
		return zero, err
	}
	var lastErr error
	for _, c := range clients {
		v, err := call(s.ctx, c)
		if err == nil {
			return v, nil
		}
		if reason, ok := refusalReason(err); ok {
			return zero, &refusedError{reason: reason}
		}
		lastErr = err
	}
	return zero, &unreachableError{addresses: s.settings.Address, err: lastErr}
}

// config reads the configuration.
func (s *session) config() (beryllatch.Config, error) {
	var c beryllatch.Config
	v, err := query(s, func(ctx context.Context, o berylwire.Operator) (*berylwire.GetConfigResponse, error) {
		return o.GetConfig(ctx, &berylwire.GetConfigRequest{})
	})
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(v.GetConfig(), &c)
}

// status reads the state of the fleet.
func (s *session) status() (*berylwire.GetStatusResponse, error) {
	return query(s, func(ctx context.Context, o berylwire.Operator) (*berylwire.GetStatusResponse, error) {
		return o.GetStatus(ctx, &berylwire.GetStatusRequest{})
	})
}

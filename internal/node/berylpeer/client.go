package berylpeer

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
)

// CallError reports a failed call to a peer. The peer may have handled the call nevertheless.
type CallError struct {
	Peer   berylreducer.Identity
	Method string
	Err    error
}

// Error names the method and the peer.
func (e *CallError) Error() string {
	return e.Method + " to peer " + e.Peer.Node + " at " + e.Peer.PeerAddress + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client calls peers; it is safe for concurrent use. Every error that its methods return is a *CallError.
type Client struct {
	http   *http.Client
	scheme string
}

// Option changes a setting of a Client.
type Option func(*Client)

// WithTimeout sets the time-out of one call; the default is 1 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.http.Timeout = d } }

// WithTLS makes the client speak TLS with the given settings instead of plain text.
func WithTLS(cfg *tls.Config) Option {
	return func(c *Client) {
		t := newTransport()
		t.TLSClientConfig = cfg
		t.Protocols.SetHTTP2(true)
		c.http.Transport = limitedTransport{t}
		c.scheme = "https"
	}
}

// NewClient returns a client that keeps one connection to each peer.
func NewClient(options ...Option) *Client {
	c := &Client{http: &http.Client{Transport: limitedTransport{newTransport()}, Timeout: callTimeout}, scheme: "http"}
	for _, o := range options {
		o(c)
	}
	return c
}

func newTransport() *http.Transport {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols: p, IdleConnTimeout: idleTimeout, ResponseHeaderTimeout: callTimeout, DisableCompression: true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Heartbeat sends this node's report to the peer and returns the peer's answer.
func (c *Client) Heartbeat(ctx context.Context, to berylreducer.Identity, h Heartbeat) (Answer, error) {
	m, err := c.peer(to).Heartbeat(ctx, &berylwire.HeartbeatRequest{
		Node: h.From.Node, Incarnation: h.From.Incarnation, ConfigVersion: h.ConfigVersion,
		Demand: demandToWire(h.Demand), Work: workToWire(h.Work), AskGrant: h.AskGrant,
	})
	if err != nil {
		return Answer{}, &CallError{to, "Heartbeat", err}
	}
	return Answer{
		From: identity(m.GetNode(), m.GetIncarnation()), ConfigVersion: m.GetConfigVersion(),
		Granted: m.GetGranted(), Demand: demandFromWire(m.GetDemand()),
	}, nil
}

// NotifyConfig tells the peer that a configuration version is committed. The answer holds the version in force at the
// peer.
func (c *Client) NotifyConfig(ctx context.Context, to berylreducer.Identity, version uint64) (Answer, error) {
	m, err := c.peer(to).NotifyConfig(ctx, &berylwire.NotifyConfigRequest{Version: version})
	if err != nil {
		return Answer{}, &CallError{to, "NotifyConfig", err}
	}
	return Answer{From: identity(m.GetNode(), m.GetIncarnation()), ConfigVersion: m.GetVersion()}, nil
}

// ReleaseUnits asks the peer to give up units of a team.
func (c *Client) ReleaseUnits(ctx context.Context, to berylreducer.Identity, u UnitRequest) error {
	_, err := c.peer(to).ReleaseUnits(ctx, &berylwire.ReleaseUnitsRequest{
		Team: u.Team, Incarnation: u.Incarnation, Units: int32(u.Units),
		Demand: demandToWire([]berylreducer.Demand{u.Demand})[0],
	})
	if err != nil {
		return &CallError{to, "ReleaseUnits", err}
	}
	return nil
}

// NotifyUnits tells the peer that units of the team have been moved to it.
func (c *Client) NotifyUnits(ctx context.Context, to berylreducer.Identity, team string) error {
	_, err := c.peer(to).NotifyUnits(ctx, &berylwire.NotifyUnitsRequest{Team: team})
	if err != nil {
		return &CallError{to, "NotifyUnits", err}
	}
	return nil
}

func (c *Client) peer(to berylreducer.Identity) berylwire.Peer {
	return berylwire.NewPeerProtobufClient(c.scheme+"://"+to.PeerAddress, c.http)
}

// limitedTransport cuts answers off after maxBody bytes.
type limitedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (l limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := l.Transport.RoundTrip(r)
	if err == nil {
		answer.Body = struct {
			io.Reader
			io.Closer
		}{io.LimitReader(answer.Body, maxBody), answer.Body}
	}
	return answer, err
}

package berylworker

import (
	"net"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

const (
	// idleTimeout closes idle connections, since an open one to each of 630 workers costs 20 MB of memory. It must be
	// shorter than the worker's own idle time, else a request can meet a closing connection and become unknown.
	idleTimeout = 2 * time.Second
	// callTimeout bounds the calls that run nothing, such as reports and leases.
	callTimeout = 2 * time.Second
)

// Option changes a setting of a Client.
type Option func(*settings)

type settings struct {
	maxConns int
	maxIdle  int
	dial     berylconn.DialContext
	// anyAnswer takes answers of other executions; only tests set it, to show that they are noticed otherwise.
	anyAnswer bool
	// errorsNotSent takes every failed exchange for one that sent nothing; only tests set it.
	errorsNotSent bool
	// cutIsEnd takes an answer that breaks off for a whole one; only tests set it.
	cutIsEnd bool
}

// WithMaxConns bounds the connections to one worker; 0, the default, means no bound.
func WithMaxConns(n int) Option { return func(s *settings) { s.maxConns = n } }

// WithMaxIdleConns bounds the idle connections kept to one worker; the default is 16.
func WithMaxIdleConns(n int) Option { return func(s *settings) { s.maxIdle = n } }

// WithDial replaces the function that opens connections.
func WithDial(d berylconn.DialContext) Option { return func(s *settings) { s.dial = d } }

func defaults() settings {
	return settings{maxIdle: 16, dial: (&net.Dialer{Timeout: time.Second}).DialContext}
}

func (s settings) transport() *http.Transport {
	return &http.Transport{
		DialContext:         berylconn.Counted(s.dial),
		MaxConnsPerHost:     s.maxConns,
		MaxIdleConnsPerHost: s.maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The transport sends the body unasked after this time; start-by ends the wait long before.
		ExpectContinueTimeout: time.Hour,
	}
}

package berylworker

import (
	"net"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

// Option changes a setting of a Client.
type Option func(*settings)

type settings struct {
	maxConns    int
	maxIdle     int
	idleTimeout time.Duration
	callTimeout time.Duration
	skew        time.Duration
	dial        berylconn.DialContext
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

// WithIdleTimeout closes connections that have been idle for so long; the default is 2 s, since an open connection to each
// of 630 workers costs 20 MB of memory.
// It must be shorter than the worker's own idle time, else a request can meet a closing connection and become unknown.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithCallTimeout bounds the calls that run nothing, such as reports and leases; the default is 2 s.
func WithCallTimeout(d time.Duration) Option { return func(s *settings) { s.callTimeout = d } }

// WithSkew sets how long past the lease's expiry an answer is awaited; the default is 500 ms, the clock skew allowed for.
func WithSkew(d time.Duration) Option { return func(s *settings) { s.skew = d } }

// WithDial replaces the function that opens connections.
func WithDial(d berylconn.DialContext) Option { return func(s *settings) { s.dial = d } }

func defaults() settings {
	return settings{
		maxIdle:     16,
		idleTimeout: 2 * time.Second,
		callTimeout: 2 * time.Second,
		skew:        500 * time.Millisecond,
		dial:        (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

func (s settings) transport() *http.Transport {
	return &http.Transport{
		DialContext:         berylconn.Counted(s.dial),
		MaxConnsPerHost:     s.maxConns,
		MaxIdleConnsPerHost: s.maxIdle,
		IdleConnTimeout:     s.idleTimeout,
		DisableCompression:  true,
		// The transport sends the body unasked after this time; start-by ends the wait long before.
		ExpectContinueTimeout: time.Hour,
	}
}

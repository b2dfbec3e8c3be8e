package berylworker

import (
	"net"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

const (
	// idleTimeout is how long an idle connection is kept. It is short because an open connection to each of 630 workers
	// takes 20 MB of memory in all. It must also be shorter than the worker's own idle time-out: a request that is sent
	// while the worker closes the connection has an unknown outcome.
	idleTimeout = 2 * time.Second
	// callTimeout bounds calls that do not wait for work to finish, such as state queries and lease renewals.
	callTimeout = 2 * time.Second
)

// Option changes a setting of a Client.
type Option func(*settings)

type settings struct {
	maxConns int
	maxIdle  int
	dial     berylconn.DialContext
	// skipAnswerCheck accepts every answer, also one of another execution. Only tests set it, to prove that they would
	// fail without the check.
	skipAnswerCheck bool
	// assumeNotSent reports every failed exchange as not sent; only tests set it.
	assumeNotSent bool
	// acceptTruncated treats truncated answers as complete; only tests set it.
	acceptTruncated bool
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
		DialContext:         berylconn.CountingDial(s.dial),
		MaxConnsPerHost:     s.maxConns,
		MaxIdleConnsPerHost: s.maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The transport sends the body without the worker's consent (100 Continue) after this time. It is so long that
		// the start-by time of the execution always ends the wait first.
		ExpectContinueTimeout: time.Hour,
	}
}

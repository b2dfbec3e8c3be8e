package beryltable

import (
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"

	"github.com/beryllatch/beryllatch/internal/common/berylconn"
	"github.com/beryllatch/beryllatch/internal/platform/berylcall"
)

// Option changes a setting of a Client.
type Option func(*settings)

type settings struct {
	endpoint    string
	table       string
	region      string
	credentials aws.CredentialsProvider
	client      *http.Client
	timeout     time.Duration
}

// WithEndpoint sets the base URL of the table service; the default is http://127.0.0.1:8000.
func WithEndpoint(url string) Option { return func(s *settings) { s.endpoint = url } }

// WithTable sets the table name; the default is beryllatch.
func WithTable(name string) Option { return func(s *settings) { s.table = name } }

// WithRegion sets the region that requests are signed for; the default is local.
func WithRegion(region string) Option { return func(s *settings) { s.region = region } }

// WithCredentials sets the access key that requests are signed with.
func WithCredentials(id, secret string) Option {
	return func(s *settings) { s.credentials = credentials.NewStaticCredentialsProvider(id, secret, "") }
}

// WithHTTPClient replaces the HTTP client; a failure after a connection was established is then an unknown outcome,
// unless the client dials through berylconn.Counted.
func WithHTTPClient(c *http.Client) Option { return func(s *settings) { s.client = c } }

// WithTimeout bounds each call; the default is 2 s.
func WithTimeout(d time.Duration) Option { return func(s *settings) { s.timeout = d } }

func defaults() settings {
	return settings{
		endpoint:    "http://127.0.0.1:8000",
		table:       "beryllatch",
		region:      "local",
		credentials: credentials.NewStaticCredentialsProvider("local", "local", ""),
		client:      newHTTPClient(),
		timeout:     2 * time.Second,
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: berylcall.OwnBody{Next: &http.Transport{
			DialContext:         berylconn.Counted((&net.Dialer{}).DialContext),
			MaxIdleConnsPerHost: 32,
			IdleConnTimeout:     30 * time.Second,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

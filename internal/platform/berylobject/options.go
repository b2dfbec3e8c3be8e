package berylobject

import (
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"

	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

// Option changes a setting of a Client.
type Option func(*settings)

type settings struct {
	endpoint    string
	bucket      string
	region      string
	credentials aws.CredentialsProvider
	client      *http.Client
	timeout     time.Duration
}

// WithEndpoint sets the base URL of the object store; the default is http://127.0.0.1:8001.
func WithEndpoint(url string) Option { return func(s *settings) { s.endpoint = url } }

// WithBucket sets the bucket; the default is beryllatch.
func WithBucket(name string) Option { return func(s *settings) { s.bucket = name } }

// WithRegion sets the region that requests are signed for; the default is local.
func WithRegion(region string) Option { return func(s *settings) { s.region = region } }

// WithCredentials sets the access key that requests are signed with.
func WithCredentials(id, secret string) Option {
	return func(s *settings) { s.credentials = credentials.NewStaticCredentialsProvider(id, secret, "") }
}

// WithHTTPClient replaces the HTTP client.
func WithHTTPClient(c *http.Client) Option { return func(s *settings) { s.client = c } }

// WithTimeout bounds each call, with the transfer of the object; the default is 10 s.
func WithTimeout(d time.Duration) Option { return func(s *settings) { s.timeout = d } }

func defaults() settings {
	return settings{
		endpoint:    "http://127.0.0.1:8001",
		bucket:      "beryllatch",
		region:      "local",
		credentials: credentials.NewStaticCredentialsProvider("local", "local", ""),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         berylconn.Counted((&net.Dialer{}).DialContext),
				MaxIdleConnsPerHost: 16,
				IdleConnTimeout:     30 * time.Second,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		timeout: 10 * time.Second,
	}
}

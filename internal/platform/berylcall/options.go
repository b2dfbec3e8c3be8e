package berylcall

import (
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"

	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

// Settings holds the settings of a client of the platform.
type Settings struct {
	Endpoint string
	// Name is the name of the table or the bucket.
	Name        string
	Region      string
	Credentials aws.CredentialsProvider
	HTTPClient  *http.Client
	// Timeout bounds each call, including the transfer of its body.
	Timeout time.Duration
}

// Option changes a setting of a client.
type Option func(*Settings)

// WithEndpoint sets the base URL of the service.
func WithEndpoint(url string) Option { return func(s *Settings) { s.Endpoint = url } }

// WithName sets the name of the table or the bucket; the default is beryllatch.
func WithName(name string) Option { return func(s *Settings) { s.Name = name } }

// WithRegion sets the region that requests are signed for; the default is local.
func WithRegion(region string) Option { return func(s *Settings) { s.Region = region } }

// WithCredentials sets the access key that requests are signed with.
func WithCredentials(id, secret string) Option {
	return func(s *Settings) { s.Credentials = credentials.NewStaticCredentialsProvider(id, secret, "") }
}

// WithHTTPClient replaces the HTTP client. If the client does not dial through berylconn.CountingDial, any failure after a
// connection was established has an unknown outcome.
func WithHTTPClient(c *http.Client) Option { return func(s *Settings) { s.HTTPClient = c } }

// WithTimeout bounds each call, including the transfer of its body.
func WithTimeout(d time.Duration) Option { return func(s *Settings) { s.Timeout = d } }

// NewSettings returns the default settings with the options applied. The function transport turns the base transport into
// that of the default HTTP client.
func NewSettings(
	endpoint string, timeout time.Duration, transport func(*http.Transport) http.RoundTripper, opts ...Option,
) Settings {
	base := &http.Transport{
		DialContext:     berylconn.CountingDial((&net.Dialer{}).DialContext),
		IdleConnTimeout: 30 * time.Second,
	}
	s := Settings{
		Endpoint: endpoint, Name: "beryllatch", Region: "local", Timeout: timeout,
		Credentials: credentials.NewStaticCredentialsProvider("local", "local", ""),
		HTTPClient: &http.Client{
			Transport:     transport(base),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, o := range opts {
		o(&s)
	}
	return s
}

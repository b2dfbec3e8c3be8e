package berylobject

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	v4 "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylconn"
	"github.com/beryllatch/beryllatch/internal/platform/berylcall"
)

// Client implements beryllatch.ObjectStore. It never retries a call.
type Client struct {
	api *s3.Client
	cfg berylcall.Settings
}

var _ beryllatch.ObjectStore = (*Client)(nil)

// New returns a client of the object store; the default endpoint is http://127.0.0.1:8001, and the default time-out 10 s.
func New(opts ...berylcall.Option) *Client {
	cfg := berylcall.NewSettings("http://127.0.0.1:8001", 10*time.Second, transport, opts...)
	return &Client{cfg: cfg, api: s3.New(s3.Options{
		BaseEndpoint:               aws.String(cfg.Endpoint),
		Region:                     cfg.Region,
		Credentials:                cfg.Credentials,
		HTTPClient:                 cfg.HTTPClient,
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})}
}

func transport(t *http.Transport) http.RoundTripper {
	t.MaxIdleConnsPerHost = 16
	return t
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Name string }

// Error names the object.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q not found", e.Name) }

// Put stores the size bytes of r under the name; an error is *beryllatch.UnavailableError or *beryllatch.UnknownOutcomeError.
func (c *Client) Put(ctx context.Context, name string, r io.Reader, size int64) error {
	tracker := &berylconn.Tracker{}
	ctx, cancel := context.WithTimeout(tracker.Attach(ctx), c.cfg.Timeout)
	defer cancel()
	_, err := c.api.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        aws.String(c.cfg.Name),
		Key:           aws.String(name),
		Body:          r,
		ContentLength: aws.Int64(size),
	}, s3.WithAPIOptions(v4.SwapComputePayloadSHA256ForUnsignedPayloadMiddleware))
	if err == nil {
		return nil
	}
	return berylcall.WriteError(err, tracker)
}

// Get opens the named object; the caller closes it. An error is *NotFoundError or *beryllatch.UnavailableError.
func (c *Client) Get(ctx context.Context, name string) (io.ReadCloser, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	out, err := c.api.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(c.cfg.Name), Key: aws.String(name)})
	if err != nil {
		cancel()
		if berylcall.Status(err) == http.StatusNotFound {
			return nil, &NotFoundError{Name: name}
		}
		return nil, &beryllatch.UnavailableError{Err: err}
	}
	return &body{ReadCloser: out.Body, cancel: cancel}, nil
}

// Delete removes the named object, and succeeds if it does not exist. An error is *beryllatch.UnavailableError or
// *beryllatch.UnknownOutcomeError.
func (c *Client) Delete(ctx context.Context, name string) error {
	tracker := &berylconn.Tracker{}
	ctx, cancel := context.WithTimeout(tracker.Attach(ctx), c.cfg.Timeout)
	defer cancel()
	_, err := c.api.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: aws.String(c.cfg.Name), Key: aws.String(name)})
	if err == nil || berylcall.Status(err) == http.StatusNotFound {
		return nil
	}
	return berylcall.WriteError(err, tracker)
}

// body is an open object. Closing it releases the call's time-out.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the object and ends its transfer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

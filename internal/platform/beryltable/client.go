package beryltable

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go/middleware"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylconn"
	"github.com/beryllatch/beryllatch/internal/platform/berylcall"
)

// Client implements beryllatch.Table. It never retries a call.
type Client struct {
	api operations
	cfg berylcall.Settings
}

// operations holds the methods of a *dynamodb.Client that Client uses. With a field of type *dynamodb.Client, the linker
// would keep all of its methods, because Client is converted to an interface and the program looks up methods by name.
type operations struct {
	get   func(context.Context, *dynamodb.GetItemInput, ...func(*dynamodb.Options)) (*dynamodb.GetItemOutput, error)
	query func(context.Context, *dynamodb.QueryInput, ...func(*dynamodb.Options)) (*dynamodb.QueryOutput, error)
	write func(
		context.Context, *dynamodb.TransactWriteItemsInput, ...func(*dynamodb.Options),
	) (*dynamodb.TransactWriteItemsOutput, error)
}

var _ beryllatch.Table = (*Client)(nil)

// New returns a client of the table service; the default endpoint is http://127.0.0.1:8000, and the default time-out 2 s.
func New(opts ...berylcall.Option) *Client {
	cfg := berylcall.NewSettings("http://127.0.0.1:8000", 2*time.Second, transport, opts...)
	api := dynamodb.New(dynamodb.Options{
		EndpointResolverV2: fixedEndpoint(cfg.Endpoint),
		Region:             cfg.Region,
		Credentials:        cfg.Credentials,
		HTTPClient:         cfg.HTTPClient,
		Retryer:            aws.NopRetryer{},
		APIOptions:         []func(*middleware.Stack) error{shortenHeaders},
	})
	return &Client{cfg: cfg, api: operations{get: api.GetItem, query: api.Query, write: api.TransactWriteItems}}
}

func transport(t *http.Transport) http.RoundTripper {
	t.MaxIdleConnsPerHost = 32
	return berylcall.CopyBodyTransport{Next: t}
}

// Get returns the row as of a strongly consistent read; a missing row has Version 0.
func (c *Client) Get(ctx context.Context, k beryllatch.RowKey) (beryllatch.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	out, err := c.api.get(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(c.cfg.Name),
		Key:            encodeKey(k),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return beryllatch.Row{}, &beryllatch.UnavailableError{Err: err}
	}
	if len(out.Item) == 0 {
		return beryllatch.Row{Key: k}, nil
	}
	return decodeRow(out.Item)
}

// Query returns up to limit rows of a partition whose sort key is greater than after, in ascending order; limit 0 means all
// of them.
func (c *Client) Query(ctx context.Context, partition, after string, limit int) ([]beryllatch.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(c.cfg.Name),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("pk = :p"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":p": &types.AttributeValueMemberS{Value: partition}},
	}
	if after != "" {
		// The service rejects an expression with an empty sort key.
		in.KeyConditionExpression = aws.String("pk = :p AND sk > :s")
		in.ExpressionAttributeValues[":s"] = &types.AttributeValueMemberS{Value: after}
	}
	var rows []beryllatch.Row
	for {
		if limit > 0 {
			in.Limit = aws.Int32(int32(min(limit-len(rows), 1000)))
		}
		out, err := c.api.query(ctx, in)
		if err != nil {
			return nil, &beryllatch.UnavailableError{Err: err}
		}
		for _, item := range out.Items {
			row, err := decodeRow(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		if len(out.LastEvaluatedKey) == 0 || (limit > 0 && len(rows) >= limit) {
			return rows, nil
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

// Transact applies all writes or none. Besides the errors of beryllatch.Table it returns *ItemTooLargeError and
// *TooManyWritesError, in both cases without sending anything.
func (c *Client) Transact(ctx context.Context, writes ...beryllatch.RowWrite) error {
	if len(writes) == 0 {
		return nil
	}
	if len(writes) > MaxWrites {
		return &TooManyWritesError{Count: len(writes)}
	}
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		if n := itemSize(w.Row); n > MaxItemBytes && !w.Delete && !w.CheckOnly {
			return &ItemTooLargeError{Key: w.Row.Key, Size: n}
		}
		items[i] = c.encodeWrite(w)
	}
	tracker := &berylconn.Tracker{}
	ctx, cancel := context.WithTimeout(tracker.Attach(ctx), c.cfg.Timeout)
	defer cancel()
	_, err := c.api.write(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err != nil {
		return classify(err, tracker, writes)
	}
	return nil
}

// encodeWrite encodes the write with the condition that the stored row has the expected version, or does not exist.
func (c *Client) encodeWrite(w beryllatch.RowWrite) types.TransactWriteItem {
	table, cond, values := aws.String(c.cfg.Name), aws.String("attribute_not_exists(pk)"), map[string]types.AttributeValue(nil)
	if w.Expect > 0 {
		cond = aws.String("ver = :v")
		values = map[string]types.AttributeValue{":v": encodeNumber(w.Expect)}
	}
	switch {
	case w.CheckOnly:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: encodeKey(w.Row.Key), ConditionExpression: cond, ExpressionAttributeValues: values,
		}}
	case w.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: encodeKey(w.Row.Key), ConditionExpression: cond, ExpressionAttributeValues: values,
		}}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: table, Item: encodeRow(w.Stored()), ConditionExpression: cond, ExpressionAttributeValues: values,
	}}
}

// MalformedRowError reports a stored item that cannot be decoded as a row.
type MalformedRowError struct {
	Key       beryllatch.RowKey
	Attribute string
}

// Error names the row and the attribute.
func (e *MalformedRowError) Error() string {
	return fmt.Sprintf("row %s/%s: attribute %s is missing or malformed", e.Key.Partition, e.Key.Sort, e.Attribute)
}

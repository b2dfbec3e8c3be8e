package beryltable

import (
	"context"
	"net/url"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	smithyendpoints "github.com/aws/smithy-go/endpoints"
	"github.com/rotisserie/eris"
)

// fixedEndpoint is the base URL of the service. The SDK's own resolver compiles the patterns of all regions again at each
// call, also for a given base URL: that was a quarter of what a node at rest allocates.
type fixedEndpoint string

// ResolveEndpoint returns the base URL.
func (e fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (smithyendpoints.Endpoint, error) {
	u, err := url.Parse(string(e))
	if err != nil {
		return smithyendpoints.Endpoint{}, eris.Wrap(err, "address of the table service")
	}
	return smithyendpoints.Endpoint{URI: *u}, nil
}

package beryltable

import (
	"context"
	"net/url"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	smithyendpoints "github.com/aws/smithy-go/endpoints"
	"github.com/rotisserie/eris"
)

// fixedEndpoint resolves every call to the base URL of the service. The SDK's own resolver compiles the patterns of all
// regions again for each call, even if the base URL is given. That caused a quarter of the memory allocations of an idle
// node.
type fixedEndpoint string

// ResolveEndpoint returns the base URL.
func (e fixedEndpoint) ResolveEndpoint(context.Context, dynamodb.EndpointParameters) (smithyendpoints.Endpoint, error) {
	u, err := url.Parse(string(e))
	if err != nil {
		return smithyendpoints.Endpoint{}, eris.Wrap(err, "parse URL of the table service")
	}
	return smithyendpoints.Endpoint{URI: *u}, nil
}

// Package beryloperator serves the operators' twirp interface of a node: it identifies the operator by a token, bounds
// and validates each call, and passes it to the node.
package beryloperator

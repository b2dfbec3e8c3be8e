// Package beryloperator serves the operators' twirp interface of a node: it identifies the operator, bounds and
// validates each call, and hands it to the node.
package beryloperator

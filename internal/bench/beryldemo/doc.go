// Package beryldemo runs a fleet for each example user, kills a node, takes a data centre out of service, and compares
// what callers were told with what the workers recorded.
package beryldemo

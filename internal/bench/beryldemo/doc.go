// Package beryldemo runs a fleet for each example user, kills a node, takes a data centre out of service, and compares
// the replies to callers with the workers' records.
package beryldemo

// Package beryldemo runs a fleet of each example user through the death of a node and the loss of a data centre, and
// compares what callers were told with what the workers saw.
package beryldemo

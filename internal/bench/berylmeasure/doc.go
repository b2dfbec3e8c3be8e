// Package berylmeasure replays scripted loads and operations on a virtual clock and compares the results of several
// policies.
//
// The decisions are the product's own: each node is a Reducer, which uses berylshare and berylplan. The rest is
// simulated: the table is a map with compare-and-set, and a worker has slots and a state and runs each request for a
// given time. docs/MEASURES.md defines the measures.
package berylmeasure

// Package berylslope holds the benchmarks that give the slopes of docs/CAPACITY.md: the reducer's time and memory, and
// the bytes of each control message, against the numbers of workers, teams and nodes.
package berylslope

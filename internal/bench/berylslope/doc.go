// Package berylslope holds the benchmarks behind the slopes in docs/CAPACITY.md: how the reducer's processor time and
// memory, and the size of each control message, grow with the numbers of workers, teams and nodes.
package berylslope

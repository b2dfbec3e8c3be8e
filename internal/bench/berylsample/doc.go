// Package berylsample makes fleet configurations of a given size for benchmarks.
package berylsample

// Package berylsample generates fleet configurations of a given size for benchmarks.
package berylsample

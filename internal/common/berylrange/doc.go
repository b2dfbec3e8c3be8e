// Package berylrange holds sets of integers that consist of few ranges.
package berylrange

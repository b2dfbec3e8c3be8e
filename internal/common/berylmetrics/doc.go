// Package berylmetrics keeps the counters and gauges of a process and serves them over HTTP.
package berylmetrics

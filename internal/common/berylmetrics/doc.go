// Package berylmetrics keeps the counters, gauges and histograms of a process and serves them over HTTP.
package berylmetrics

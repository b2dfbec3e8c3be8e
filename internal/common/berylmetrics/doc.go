// Package berylmetrics keeps the counters and histograms of a process and serves them over HTTP.
package berylmetrics

// Package berylload measures running daemons on loopback: latency, throughput, memory and what they use at rest.
package berylload

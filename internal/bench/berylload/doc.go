// Package berylload measures daemons that run as processes on loopback: the latency and throughput of requests, memory,
// table calls, and the use of resources at rest.
package berylload

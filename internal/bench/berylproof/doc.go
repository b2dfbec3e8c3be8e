// Package berylproof tests fleets of real processes on loopback: requests and tasks while nodes are killed, frozen or
// replaced and while the platform or workers fail, maintenance waves, concurrent operators, and TLS.
package berylproof

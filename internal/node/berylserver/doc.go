// Package berylserver assembles an entry node from its settings: it creates the daemon and the clients for the
// platform, workers and peers, and serves its HTTP listeners.
package berylserver

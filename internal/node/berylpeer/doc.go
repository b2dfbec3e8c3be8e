// Package berylpeer connects entry nodes with each other: a twirp server for peers' calls and a client for calls to
// peers.
//
// Both sides use HTTP/2, also without TLS. While the platform is unavailable every node calls every other one, and only
// with the compressed headers of HTTP/2 does that traffic stay within a node's limit for control traffic.
package berylpeer

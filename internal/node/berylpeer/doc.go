// Package berylpeer connects entry nodes with each other: a twirp server for peers' calls and a client for calls to
// peers.
//
// Both sides use HTTP/2, also without TLS. While the platform is unavailable, every node calls every other one. This
// traffic stays within the limit of 16 KB/s for a node's control traffic only because HTTP/2 compresses the headers.
package berylpeer

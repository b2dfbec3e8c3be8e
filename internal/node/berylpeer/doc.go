// Package berylpeer connects entry nodes with each other: a twirp server for peers' calls and a client for calls to peers.
//
// Both sides use HTTP/2 without encryption, since its compressed headers keep the full mesh of an outage within the
// control budget of a node.
package berylpeer

// Package berylconn tells whether a failed HTTP request can have put a byte on the wire.
package berylconn

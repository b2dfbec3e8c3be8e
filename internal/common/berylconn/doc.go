// Package berylconn finds out whether any byte of a failed HTTP request may have been sent.
package berylconn

// Package berylconn tells whether a failed HTTP request may have sent any byte.
package berylconn

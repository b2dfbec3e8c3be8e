// Package berylrelay reaches the row store through other nodes while it turns this one away.
package berylrelay

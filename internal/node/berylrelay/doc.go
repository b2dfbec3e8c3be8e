// Package berylrelay reaches the row store through other nodes while the store refuses this one.
package berylrelay

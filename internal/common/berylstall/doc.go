// Package berylstall ends HTTP calls whose answer makes no progress.
package berylstall

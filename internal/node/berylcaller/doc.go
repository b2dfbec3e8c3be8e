// Package berylcaller serves callers' requests over HTTP.
package berylcaller

// Package berylheader checks the headers that the callers' requests and tasks APIs have in common.
package berylheader

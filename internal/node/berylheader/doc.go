// Package berylheader parses and validates the headers that the requests API and the tasks API have in common.
package berylheader

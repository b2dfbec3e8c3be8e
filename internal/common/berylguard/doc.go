// Package berylguard turns panics into errors, so that one unexpected value does not end a process.
package berylguard

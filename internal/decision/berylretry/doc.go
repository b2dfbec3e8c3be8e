// Package berylretry plans when refused callers return, so that those refused together don't return together.
//
// It has no I/O and no clock.
package berylretry

// Package berylentry assembles an entry node for jobs from its settings, listeners, clients and logs.
package berylentry

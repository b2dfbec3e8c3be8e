// Package berylentry puts an entry node for jobs together: its settings, listeners, clients and logs.
package berylentry

// Package berylserver connects a daemon to its listeners and to the platform.
package berylserver

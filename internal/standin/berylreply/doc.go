// Package berylreply holds what the HTTP handlers of both stand-ins share.
package berylreply

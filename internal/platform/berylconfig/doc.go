// Package berylconfig stores the configuration document in the platform's table.
package berylconfig

// Package beryllatch defines the interfaces and value types that all programs of the project share.
package beryllatch

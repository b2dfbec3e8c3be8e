// Package beryllatch holds the interfaces and value types that the processes of beryllatch share.
package beryllatch

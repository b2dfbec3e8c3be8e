// Package berylcommand holds the commands of beryllatch, the operators' command-line client.
package berylcommand

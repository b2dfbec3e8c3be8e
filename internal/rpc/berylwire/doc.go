// Package berylwire holds the messages and services between the processes of beryllatch, generated from the .proto files.
package berylwire

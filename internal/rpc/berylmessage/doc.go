// Package berylmessage estimates the memory of messages before they are decoded.
package berylmessage

// Command berylstandin stands in for the platform or for workers in tests and in the demo.
package main

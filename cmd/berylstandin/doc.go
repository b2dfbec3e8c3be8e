// Command berylstandin runs stand-ins for the platform or for workers, as used by tests and the demo.
package main

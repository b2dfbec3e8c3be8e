// Command berylload measures running daemons on loopback; every measurement is bounded and stops by itself.
package main

// Command berylprove runs the tests behind each promise of the system and prints what they prove.
package main

// Command berylprove runs the tests behind each promise and prints what they prove.
package main

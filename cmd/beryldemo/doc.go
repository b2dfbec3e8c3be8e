// Command beryldemo runs the example users' fleets on loopback through faults.
package main

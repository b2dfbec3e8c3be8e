// Package rig2 runs the entry daemon as separate processes on loopback addresses against stand-ins of the users' platform.
//
// The stand-ins are written from the platform's documentation only. They are in test files, as the names on the platform's wire
// belong to one package of the program.
package rig2

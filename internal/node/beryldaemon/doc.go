// Package beryldaemon runs an entry node: it feeds events to the reducer and carries out its effects.
package beryldaemon

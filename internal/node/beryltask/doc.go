// Package beryltask carries out the task effects of the reducer against the table, the object store and the workers.
package beryltask

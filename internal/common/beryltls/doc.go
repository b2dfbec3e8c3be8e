// Package beryltls loads certificates that can be replaced while a process runs.
package beryltls

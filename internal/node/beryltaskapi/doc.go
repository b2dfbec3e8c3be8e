// Package beryltaskapi serves the HTTP API by which callers submit tasks to a queue, look them up, cancel them and read
// their results.
package beryltaskapi

// Package beryltaskapi serves the callers' HTTP API for queued tasks.
package beryltaskapi

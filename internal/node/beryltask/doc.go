// Package beryltask carries out the reducer's effects on tasks: it reads and writes task rows in the table, stores
// payloads and results as objects, and calls workers.
package beryltask

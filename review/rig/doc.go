// Package rig runs the project's entry nodes as separate processes against small stand-ins of the users' platform, its
// workers and its clients, and records what was sent, answered and run.
package rig

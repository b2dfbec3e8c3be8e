// Package rig has the scripted cases of the review. Its tests run the project's entry nodes as separate processes against small
// stand-ins of the users' platform, its workers and its clients, and record what was sent, answered and run.
package rig

// Package berylfleet is a stand-in for the users' platform: its row store, its workers and its instance interface.
//
// It is written from the platform's documentation only. The workers record what ran, and Fleet.Violations returns the
// rules that the calls to them have broken.
package berylfleet

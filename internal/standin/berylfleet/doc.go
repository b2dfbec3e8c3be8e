// Package berylfleet is a stand-in of the users' platform: its row store, its workers and its instance interface.
//
// It is written from the platform's pages only. Workers record what truly ran; Fleet.Violations tells which promises the
// orders that they got have broken.
package berylfleet

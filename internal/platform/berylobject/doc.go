// Package berylobject implements beryllatch.ObjectStore over the S3 REST protocol, with path-style addresses.
package berylobject

// Package berylplatform is a stand-in for the platform: a table service, an object store, an instance list and a load
// balancer, all in memory, with faults that tests switch on over HTTP.
package berylplatform

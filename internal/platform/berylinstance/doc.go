// Package berylinstance implements beryllatch.InstanceList over the Prometheus HTTP service-discovery format.
package berylinstance

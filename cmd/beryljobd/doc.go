// Command beryljobd is the entry daemon for jobs on platforms whose workers run tasks under leases.
package main

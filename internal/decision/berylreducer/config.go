package berylreducer

import (
	"strconv"

	"github.com/beryllatch/beryllatch"
)

// configRead adopts a configuration document if its version is higher than the one that the node uses.
func (r *Reducer) configRead(e ConfigRead) {
	if e.Config.Version > r.config.Version || r.faults.adoptLower {
		r.adopt(e.Config)
	}
	r.extendTenure()
	r.checkInForce()
}

// adopt makes the document the node's current configuration.
func (r *Reducer) adopt(c beryllatch.Config) {
	r.emit(LogState{
		Subject: "config", From: strconv.FormatUint(r.config.Version, 10), To: strconv.FormatUint(c.Version, 10),
	})
	previous := r.config
	r.config = c
	clear(r.keys)
	for _, id := range beryllatch.SortedKeys(c.APIKeys) {
		if k := c.APIKeys[id]; !k.Withdrawn {
			r.keys[k.Hash] = k
		}
	}
	r.adoptWorkers()
	r.adoptTeams(previous)
	r.adoptRequests()
}

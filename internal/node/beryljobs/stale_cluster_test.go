package beryljobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// From the moment at which no node can read the configuration any more, a change that is confirmed must not be ignored for longer
// than the configuration delay: neither because other reads are answered, nor because nodes confirm it to each other.
func TestUnreadableConfigurationIsNotTrusted(t *testing.T) {
	for name, fail := range map[string]func(*nodeStore){
		"the configuration alone":   (*nodeStore).setNoOperations,
		"the store out of reach":    func(s *nodeStore) { s.setCut(true) },
		"half of the nodes cut off": nil,
	} {
		t.Run(name, func(t *testing.T) {
			testCluster(t, 8, func(t *testing.T, c *cluster) {
				first := c.schedulingNodes()[0]
				for i, s := range c.stores {
					switch {
					case fail != nil:
						fail(s)
					case i != first && i%2 == 0:
						s.setCut(true)
					}
				}
				time.Sleep(defaultConfigurationDelay)
				for i, n := range c.nodes {
					assert.Equal(t, n.Deployment() == nil, fail != nil, "node %d", i)
				}
			})
		})
	}
}

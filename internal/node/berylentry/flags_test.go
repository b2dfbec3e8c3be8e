package berylentry

import (
	"testing"

	"github.com/alecthomas/kong"
	adapter "github.com/beryllatch/beryllatch/platform"
	"gotest.tools/v3/assert"
)

// Other nodes must be told the address at which they reach this one, and a bad address must not be accepted.
func TestPeerAddress(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		want string
		err  string
	}{
		"default":    {nil, "127.0.0.9:17000", ""},
		"given":      {[]string{"--peer-address=127.0.0.1:4000", "--source-address=127.0.0.9"}, "127.0.0.1:4000", ""},
		"no port":    {[]string{"--peer-address=127.0.0.1"}, "", "--peer-address"},
		"no address": {[]string{"--source-address=node"}, "", "--source-address"},
		"host name":  {[]string{"--peer-address=node:4000"}, "", "--peer-address"},
	} {
		t.Run(name, func(t *testing.T) {
			var f Flags
			parser, err := kong.New(&f)
			assert.NilError(t, err)
			_, err = parser.Parse(append(c.args, "--settings=s"))
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, f.peerAddress(adapter.Settings{IP: "127.0.0.9", FirstPort: 17000}), c.want)
		})
	}
}

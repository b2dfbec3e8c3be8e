package berylsoak

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylfleet"
	"gotest.tools/v3/assert"
)

// testLink returns a link to a host that counts calls, and a client that is daemon n1.
func testLink(t *testing.T, calls chan<- bool) (*network, *http.Client, string) {
	t.Helper()
	n := newNetwork()
	n.daemons[netip.MustParseAddr("127.0.0.9")] = "n1"
	target, err := berylfleet.Serve(t.Context(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls <- true }))
	assert.NilError(t, err)
	l, err := newLink(t.Context(), n, "m-1", target, true)
	assert.NilError(t, err)
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	return n, &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}, "http://" + l.address
}

func get(ctx context.Context, c *http.Client, url string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// A cut must hold calls and answers back on open connections, let new ones hang, and concern no other pair or direction.
func TestCutsOfALink(t *testing.T) {
	// A call that must not be answered is given up after shortWait.
	const shortWait, longWait = 300 * time.Millisecond, 5 * time.Second
	pass, hang, reset := error(nil), os.ErrDeadlineExceeded, syscall.ECONNRESET
	for name, c := range map[string]struct {
		cut  cut
		down bool
		// open and fresh are the outcomes on an open and on a new connection; arrives is true if the call on the open one arrives.
		open, fresh error
		arrives     bool
	}{
		"none":          {cut{}, false, pass, pass, true},
		"both ways":     {cutBetween([]string{"n1"}, []string{"m-1"}, true, true, false), false, hang, hang, false},
		"calls lost":    {cutBetween([]string{"n1"}, []string{"m-1"}, true, false, false), false, hang, hang, false},
		"answers lost":  {cutBetween([]string{"n1"}, []string{"m-1"}, false, true, false), false, hang, hang, true},
		"resets":        {cutBetween([]string{"n1"}, []string{"m-1"}, true, true, true), false, reset, reset, false},
		"other daemon":  {cutBetween([]string{"n2"}, []string{"m-1"}, true, true, false), false, pass, pass, true},
		"other worker":  {cutBetween([]string{"n1"}, []string{"m-2"}, true, true, false), false, pass, pass, true},
		"down":          {cut{}, true, pass, syscall.ECONNREFUSED, true},
		"down in a cut": {cutBetween([]string{"n1"}, []string{"m-1"}, true, true, false), true, hang, hang, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			calls := make(chan bool, 9)
			n, client, url := testLink(t, calls)
			check := func(want error) {
				t.Helper()
				wait := longWait
				if errors.Is(want, hang) {
					wait = shortWait
				}
				err := get(t.Context(), client, url, wait)
				var op net.Error
				switch {
				case want == nil:
					assert.NilError(t, err)
				case errors.Is(want, hang):
					assert.Check(t, errors.As(err, &op) && op.Timeout(), "%v", err)
				case errors.Is(want, reset):
					assert.Check(t, errors.Is(err, reset) || errors.Is(err, io.EOF), "%v", err)
				default:
					assert.ErrorIs(t, err, want)
				}
			}
			assert.NilError(t, get(t.Context(), client, url, longWait))
			assert.Equal(t, n.scheduler(), "n1")
			<-calls
			n.begin(c.cut)
			n.setDown("m-1", c.down)
			check(c.open)
			assert.Equal(t, len(calls) > 0, c.arrives)
			client.CloseIdleConnections()
			check(c.fresh)
			n.end(c.cut)
			n.setDown("m-1", false)
			assert.NilError(t, get(t.Context(), client, url, longWait), "after the cut")
		})
	}
}

// Overlapping cuts must each last until their own end.
func TestOverlappingCuts(t *testing.T) {
	n := newNetwork()
	a, b := cutBetween([]string{"n1"}, []string{"m-1"}, true, true, false), cutBetween([]string{"n1"}, []string{"m-1", "m-2"}, true, false, false)
	n.begin(a)
	n.begin(b)
	n.end(a)
	assert.Check(t, n.isCut("n1") && n.isCut("m-1") && n.isCut("m-2"))
	assert.Check(t, n.await(t.Context(), direction{"m-1", "n1"}))
	n.end(b)
	assert.Check(t, !n.isCut("n1"))
}

// The daemons of a data centre that is cut off must reach its own workers, and neither the others nor the store.
func TestSidesOfACut(t *testing.T) {
	r := &soakRun{Soak: Soak{Daemons: 4, Workers: 6}}
	for name, c := range map[string]struct {
		kind    cutKind
		to      string
		reaches bool
	}{
		"own worker":             {cutDataCentre, "m-3", true},
		"own daemon":             {cutDataCentre, "n3", true},
		"worker elsewhere":       {cutDataCentre, "m-1", false},
		"daemon elsewhere":       {cutDataCentre, "n2", false},
		"store":                  {cutDataCentre, storeHost, false},
		"instances":              {cutDataCentre, instancesHost, false},
		"region and store":       {cutRegion, storeHost, true},
		"region and worker":      {cutRegion, "m-2", false},
		"daemon and own worker":  {cutDaemon, "m-0", true},
		"daemon and own daemon":  {cutDaemon, "n3", false},
		"daemon and other":       {cutDaemon, "m-1", false},
		"daemon and store":       {cutDaemon, storeHost, false},
		"store only":             {cutStore, storeHost, false},
		"store and worker":       {cutStore, "m-1", true},
		"instances only":         {cutInstances, instancesHost, false},
		"worker only":            {cutWorker, "m-5", false},
		"worker and other":       {cutWorker, "m-1", true},
		"peer":                   {cutPeer, "n3", false},
		"peer and other workers": {cutPeer, "m-1", true},
	} {
		t.Run(name, func(t *testing.T) {
			got := r.cutOf(cutSeries{kind: c.kind, other: 5, forth: true, back: true}, 0)
			assert.Equal(t, !slices.Contains(got.directions, direction{"n0", c.to}), c.reaches)
			assert.Equal(t, !slices.Contains(got.directions, direction{c.to, "n0"}), c.reaches)
		})
	}
}

// The same seed must give the same series.
func TestSeriesFollowFromTheSeed(t *testing.T) {
	draw := func() (out []cutSeries) {
		rng := rand.New(rand.NewPCG(7, 0)) //nolint:gosec // A seed for a test.
		for range 50 {
			s := drawSeries(rng, 4, 6)
			assert.Check(t, s.duration >= minNetworkCut && s.duration < minNetworkCut+networkCutRange && (s.forth || s.back))
			out = append(out, s)
		}
		return out
	}
	assert.Check(t, reflect.DeepEqual(draw(), draw()))
}

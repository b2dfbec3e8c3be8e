package berylplatform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
)

// Balancer distributes TCP connections over the ready entry daemons, in turn.
type Balancer struct {
	interval time.Duration
	client   *http.Client

	mu sync.Mutex
	// entries holds the entry daemons by the address of their callers' listener.
	entries map[string]entry
	// next is the index, among the ready daemons, of the one that gets the next connection.
	next int
	// relays holds the clients' connections, at most maxRelays, each until it and its connection to a daemon are closed.
	relays    map[*activeConn]struct{}
	maxRelays int
	// ended is signalled after a relay has closed its descriptors.
	ended *sync.Cond
}

// acceptPause is the pause after a connection could not be accepted, since descriptors are short.
const acceptPause = 50 * time.Millisecond

// entry is the state of one entry daemon; Admin is the address of its admin listener.
type entry struct {
	Admin string `json:"admin"`
	Ready bool   `json:"ready"`
}

func newBalancer(interval time.Duration) *Balancer {
	b := &Balancer{
		interval: interval, relays: make(map[*activeConn]struct{}), maxRelays: berylintake.LimitsFor(0, berylintake.ProcessFDs()).Connections,
		client:  &http.Client{Timeout: time.Second, Transport: &http.Transport{IdleConnTimeout: time.Minute}},
		entries: make(map[string]entry),
	}
	b.ended = sync.NewCond(&b.mu)
	return b
}

// Add registers an entry daemon by the addresses of its callers' listener and its admin listener. It gets connections
// once it is ready.
func (b *Balancer) Add(address, admin string) {
	b.mu.Lock()
	b.entries[address] = entry{Admin: admin}
	b.mu.Unlock()
}

// Remove removes an entry daemon; its open connections stay open.
func (b *Balancer) Remove(address string) {
	b.mu.Lock()
	delete(b.entries, address)
	b.mu.Unlock()
}

// Serve forwards connections until the context ends, which is no error, or the listener fails.
func (b *Balancer) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.pollReadiness(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return err
		}
		relayCtx, cancel := context.WithCancel(ctx)
		go b.forward(relayCtx, b.add(c, cancel))
	}
}

// activeConn is a client's connection that knows when it was last used.
type activeConn struct {
	net.Conn
	usedAt atomic.Int64
	// cancel ends the relay; closing is set, under the balancer's lock, once that was done for a newer connection.
	cancel  context.CancelFunc
	closing bool
}

// Read records that the client has sent something.
func (c *activeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.usedAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite ends the answers to the client.
func (c *activeConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// add registers a client's connection, whose relay is ended by cancel. If there are too many, it ends the relay that was not used for the
// longest time and waits until descriptors are free.
func (b *Balancer) add(raw net.Conn, cancel context.CancelFunc) *activeConn {
	c := &activeConn{Conn: raw, cancel: cancel}
	c.usedAt.Store(time.Now().UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.relays) >= b.maxRelays {
		b.endOldest()
		b.ended.Wait()
	}
	b.relays[c] = struct{}{}
	return c
}

// endOldest ends the relay that was not used for the longest time, unless one is being ended already.
func (b *Balancer) endOldest() {
	var oldest *activeConn
	for c := range b.relays {
		if c.closing {
			return
		}
		if oldest == nil || c.usedAt.Load() < oldest.usedAt.Load() {
			oldest = c
		}
	}
	oldest.closing = true
	oldest.cancel()
}

// release closes a client's connection after its relay has ended.
func (b *Balancer) release(c *activeConn) {
	c.cancel()
	_ = c.Close() // Nothing is written any more.
	b.mu.Lock()
	delete(b.relays, c)
	b.mu.Unlock()
	b.ended.Signal()
}

func (b *Balancer) pollReadiness(ctx context.Context) {
	t := time.NewTicker(b.interval)
	defer t.Stop()
	for {
		b.checkReadiness(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// checkReadiness updates the readiness of all entry daemons, in parallel.
func (b *Balancer) checkReadiness(ctx context.Context) {
	b.mu.Lock()
	admins := make(map[string]string, len(b.entries))
	for a, e := range b.entries {
		admins[a] = e.Admin
	}
	b.mu.Unlock()
	var wg sync.WaitGroup
	for address, admin := range admins {
		wg.Go(func() {
			ready := b.isReady(ctx, admin)
			b.mu.Lock()
			if e, ok := b.entries[address]; ok && e.Admin == admin {
				e.Ready = ready
				b.entries[address] = e
			}
			b.mu.Unlock()
		})
	}
	wg.Wait()
}

func (b *Balancer) isReady(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// nextAddresses returns the addresses of the ready daemons, starting with the one whose turn it is.
func (b *Balancer) nextAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, a := range beryllatch.SortedKeys(b.entries) {
		if b.entries[a].Ready {
			ready = append(ready, a)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	i := b.next % len(ready)
	b.next = i + 1
	return append(ready[i:], ready[:i]...)
}

// forward connects c with the first entry daemon that accepts a connection, and closes it if there is none.
func (b *Balancer) forward(ctx context.Context, c *activeConn) {
	defer b.release(c)
	d := net.Dialer{Timeout: time.Second}
	for _, a := range b.nextAddresses() {
		entryConn, err := d.DialContext(ctx, "tcp", a)
		if err != nil {
			continue
		}
		relay(ctx, c, entryConn)
		return
	}
}

// relay copies in both directions until both have reached their end or one has failed.
func relay(ctx context.Context, a, b net.Conn) {
	defer func() { _ = b.Close() }()
	stop := context.AfterFunc(ctx, func() { _, _ = a.Close(), b.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { copyOneWay(a, b) })
	wg.Go(func() { copyOneWay(b, a) })
	wg.Wait()
}

// copyOneWay copies src to dst and closes dst for writing at the end of the stream. A failure closes both connections, so
// that the copying in the other direction ends too.
func copyOneWay(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	if w, ok := dst.(interface{ CloseWrite() error }); ok && err == nil {
		err = w.CloseWrite()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		_, _ = dst.Close(), src.Close()
	}
}

func (b *Balancer) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Admin string `json:"admin"`
	}
	if !decodeStrict(w, r, &body) {
		return
	}
	b.Add(mux.Vars(r)["address"], body.Admin)
	w.WriteHeader(http.StatusNoContent)
}

func (b *Balancer) remove(w http.ResponseWriter, r *http.Request) {
	b.Remove(mux.Vars(r)["address"])
	w.WriteHeader(http.StatusNoContent)
}

func (b *Balancer) list(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	berylreply.WriteJSON(w, http.StatusOK, "application/json", b.entries)
}

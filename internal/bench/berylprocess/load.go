package berylprocess

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// loadPause spaces the requests of one sender, so that a refusing fleet is not flooded.
const loadPause = 5 * time.Millisecond

// Load sends requests until Stop and keeps what each caller was told.
type Load struct {
	mu      sync.Mutex
	replies map[string]Reply
	stop    chan struct{}
	senders sync.WaitGroup
}

// StartLoad sends requests with ids starting with prefix from one sender per caller.
func StartLoad(ctx context.Context, prefix, queue string, callers []Caller, headers ...string) *Load {
	l := &Load{replies: map[string]Reply{}, stop: make(chan struct{})}
	for n, c := range callers {
		c.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		l.senders.Go(func() { l.send(ctx, fmt.Sprintf("%s-%d", prefix, n), queue, c, headers) })
	}
	return l
}

func (l *Load) send(ctx context.Context, prefix, queue string, c Caller, headers []string) {
	defer c.Client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(loadPause):
		}
		id := fmt.Sprintf("%s-%d", prefix, n)
		reply := c.Request(ctx, queue, id, id, headers...)
		l.mu.Lock()
		l.replies[id] = reply
		l.mu.Unlock()
	}
}

// Stop ends the load and returns what the callers were told, by request id.
func (l *Load) Stop() map[string]Reply {
	close(l.stop)
	l.senders.Wait()
	return l.replies
}

package berylprocess

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// loadPause is the pause of a sender before each request, so that a fleet that refuses requests at once is not flooded.
const loadPause = 5 * time.Millisecond

// Load sends requests until Stop and keeps the replies.
type Load struct {
	mu      sync.Mutex
	replies map[string]Reply
	stop    chan struct{}
	senders sync.WaitGroup
}

// StartLoad starts one sender per caller. The ids of the requests start with prefix, and the body of each is its id.
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

// Stop waits for the requests that are under way and returns all replies by request id.
func (l *Load) Stop() map[string]Reply {
	close(l.stop)
	l.senders.Wait()
	return l.replies
}

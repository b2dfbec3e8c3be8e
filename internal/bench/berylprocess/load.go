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

// Summary counts what callers were told and what workers saw.
type Summary struct {
	Answered int
	NotRun   int
	Unknown  int
	// NoAnswer counts the callers whose connection broke.
	NoAnswer int
	Starts   int
	// Reasons counts the refusals by reason.
	Reasons map[string]int
	// Violations lists each contradiction between a caller and the workers.
	Violations []string
}

// Compare judges the replies to non-idempotent requests by the workers' records.
func Compare(replies map[string]Reply, starts []Start) Summary {
	s := Summary{Reasons: map[string]int{}}
	started := map[string]int{}
	for _, x := range starts {
		if _, ok := replies[x.RequestID]; ok {
			started[x.RequestID]++
			s.Starts++
		}
	}
	for id, r := range replies {
		s.add(id, r, started[id])
	}
	return s
}

func (s *Summary) add(id string, r Reply, starts int) {
	if starts > 1 {
		s.violate("%s was started %d times", id, starts)
	}
	switch {
	case r.Answered():
		s.Answered++
		if starts == 0 {
			s.violate("%s was answered without a start", id)
		}
	case r.Err != nil:
		s.NoAnswer++
	case r.NotRun():
		s.NotRun++
		s.Reasons[r.Reason]++
		if starts > 0 {
			s.violate("%s was refused as not run (%s) and was started", id, r.Reason)
		}
	default:
		s.Unknown++
		s.Reasons[r.Reason]++
	}
}

func (s *Summary) violate(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

package beryltask

import (
	"sync"
	"time"
)

const (
	// cacheBytes bounds the payloads that a node keeps for an outage; a node may use 32 MB in all.
	cacheBytes = 4 << 20
	// cacheAge is how long a payload stays after the last sight of its task; loaded tasks are seen every second.
	cacheAge = 10 * time.Second
)

// payloadCache keeps payloads of idempotent tasks, so that they can start while the platform is out.
// Payloads never change; the zero value works.
type payloadCache struct {
	mu     sync.Mutex
	byTask map[string]*cachedPayload
	bytes  int
}

type cachedPayload struct {
	body        []byte
	lastTouched time.Time
}

// put keeps the payload if there is room beside those of tasks that are still seen.
func (c *payloadCache) put(id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byTask == nil {
		c.byTask = map[string]*cachedPayload{}
	}
	c.remove(id)
	if c.bytes+len(body) > cacheBytes {
		c.expire()
	}
	if c.bytes+len(body) > cacheBytes {
		return
	}
	c.byTask[id] = &cachedPayload{body: body, lastTouched: time.Now()}
	c.bytes += len(body)
}

// touch notes that the task is still there, and reports whether its payload is kept.
func (c *payloadCache) touch(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byTask[id]
	if p == nil {
		return false
	}
	p.lastTouched = time.Now()
	return true
}

// full reports whether the cache may have no room for another payload.
func (c *payloadCache) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes+MaxInline > cacheBytes {
		c.expire()
	}
	return c.bytes+MaxInline > cacheBytes
}

func (c *payloadCache) get(id string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byTask[id]
	if p == nil {
		return nil, false
	}
	return p.body, true
}

func (c *payloadCache) drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id)
}

func (c *payloadCache) remove(id string) {
	if p := c.byTask[id]; p != nil {
		c.bytes -= len(p.body)
		delete(c.byTask, id)
	}
}

func (c *payloadCache) expire() {
	for id, p := range c.byTask {
		if time.Since(p.lastTouched) > cacheAge {
			c.remove(id)
		}
	}
}

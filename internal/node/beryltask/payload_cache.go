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
	mu   sync.Mutex
	m    map[string]*cachedPayload
	size int
}

type cachedPayload struct {
	body []byte
	seen time.Time
}

// put keeps the payload if there is room beside those of tasks that are still seen.
func (c *payloadCache) put(id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = map[string]*cachedPayload{}
	}
	c.remove(id)
	if c.size+len(body) > cacheBytes {
		c.expire()
	}
	if c.size+len(body) > cacheBytes {
		return
	}
	c.m[id] = &cachedPayload{body: body, seen: time.Now()}
	c.size += len(body)
}

// touch notes that the task is still there, and reports whether its payload is kept.
func (c *payloadCache) touch(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.m[id]
	if p == nil {
		return false
	}
	p.seen = time.Now()
	return true
}

// full reports whether the cache may have no room for another payload.
func (c *payloadCache) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.size+MaxInline > cacheBytes {
		c.expire()
	}
	return c.size+MaxInline > cacheBytes
}

func (c *payloadCache) get(id string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.m[id]
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
	if p := c.m[id]; p != nil {
		c.size -= len(p.body)
		delete(c.m, id)
	}
}

func (c *payloadCache) expire() {
	for id, p := range c.m {
		if time.Since(p.seen) > cacheAge {
			c.remove(id)
		}
	}
}

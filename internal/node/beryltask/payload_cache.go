package beryltask

import (
	"sync"
	"time"
)

const (
	// cacheBytes bounds the size of the cached payloads; it is an eighth of the 32 MB of memory that a node may use.
	cacheBytes = 4 << 20
	// cacheAge is the time after which a full cache removes a payload whose task has not been read as queued again. The
	// newest tasks of a shard are read every second, the others in passes that come every 10 s.
	cacheAge = 25 * time.Second
)

// payloadCache holds payloads of idempotent tasks in memory, so that the tasks can start while the platform is
// unavailable. Payloads never change, so an entry is never out of date. The zero value works.
type payloadCache struct {
	mu     sync.Mutex
	byTask map[string]*cachedPayload
	bytes  int
}

type cachedPayload struct {
	body        []byte
	lastTouched time.Time
}

// put adds a payload. If the cache is full, it first removes expired entries; if that does not help, it drops the
// payload.
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

// touch records that the payload's task has been read as queued, and returns false if the payload is not cached.
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

// full reports whether the cache lacks the room for another payload of the largest size, after removing expired
// entries.
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

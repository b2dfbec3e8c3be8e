package beryljobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPatience(t *testing.T) {
	p := adaptiveTimeout{shortest: minStoreTimeout, longest: maxStoreTimeout}
	assert.Equal(t, p.next(), minStoreTimeout)
	p.recordTimeout()
	assert.Equal(t, p.next(), 2*minStoreTimeout, "a second attempt waits longer")
	for range 10 {
		p.recordTimeout()
	}
	assert.Equal(t, p.next(), maxStoreTimeout)
	for range 50 {
		p.recordAnswer(4 * time.Millisecond)
	}
	assert.Equal(t, p.next(), minStoreTimeout, "lost answers are noticed soon while the others are fast")
	for range 50 {
		p.recordAnswer(400 * time.Millisecond)
	}
	assert.Equal(t, p.next(), maxStoreTimeout, "the time-out covers slow answers")
}

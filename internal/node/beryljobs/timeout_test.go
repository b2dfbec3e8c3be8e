package beryljobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPatience(t *testing.T) {
	timeout := adaptiveTimeout{shortest: minStoreTimeout, longest: maxStoreTimeout}
	assert.Equal(t, timeout.next(), minStoreTimeout)
	timeout.recordTimeout()
	assert.Equal(t, timeout.next(), 2*minStoreTimeout, "a second attempt waits longer")
	for range 10 {
		timeout.recordTimeout()
	}
	assert.Equal(t, timeout.next(), maxStoreTimeout)
	for range 50 {
		timeout.recordAnswer(4 * time.Millisecond)
	}
	assert.Equal(t, timeout.next(), minStoreTimeout, "lost answers are noticed soon while the others are fast")
	for range 50 {
		timeout.recordAnswer(400 * time.Millisecond)
	}
	assert.Equal(t, timeout.next(), maxStoreTimeout, "the time-out covers slow answers")
}

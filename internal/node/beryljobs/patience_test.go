package beryljobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPatience(t *testing.T) {
	var p patience
	assert.Equal(t, p.timeout(), leastPatience)
	p.missed()
	assert.Equal(t, p.timeout(), 2*leastPatience, "a second try waits longer")
	for range 10 {
		p.missed()
	}
	assert.Equal(t, p.timeout(), mostPatience)
	for range 50 {
		p.answered(4 * time.Millisecond)
	}
	assert.Equal(t, p.timeout(), leastPatience, "lost answers are noticed soon while the others are fast")
	for range 50 {
		p.answered(400 * time.Millisecond)
	}
	assert.Equal(t, p.timeout(), mostPatience, "slow answers get their time")
}

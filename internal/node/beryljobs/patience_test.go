package beryljobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPatience(t *testing.T) {
	p := patience{least: leastStorePatience, most: mostStorePatience}
	assert.Equal(t, p.timeout(), leastStorePatience)
	p.missed()
	assert.Equal(t, p.timeout(), 2*leastStorePatience, "a second try waits longer")
	for range 10 {
		p.missed()
	}
	assert.Equal(t, p.timeout(), mostStorePatience)
	for range 50 {
		p.answered(4 * time.Millisecond)
	}
	assert.Equal(t, p.timeout(), leastStorePatience, "lost answers are noticed soon while the others are fast")
	for range 50 {
		p.answered(400 * time.Millisecond)
	}
	assert.Equal(t, p.timeout(), mostStorePatience, "slow answers get their time")
}

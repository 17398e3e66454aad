package limit

import (
	"math"
	"time"
)

// Bucket is a share of a flow; its zero value has nothing to spend.
type Bucket struct {
	rate       float64 // tokens per second
	burst      float64
	tokens     float64
	refilledAt time.Time // when tokens was last brought up to date
	expiry     time.Time // end of the lease
}

// Resize gives the bucket a new share; tokens are cut to the burst and never added.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = math.Min(b.tokens, burst)
}

// Renew extends the lease to until. After a lapse the bucket starts empty,
// because the lender may have lent the burst to another holder meanwhile.
func (b *Bucket) Renew(now, expiry time.Time) {
	b.refill(now)
	if expiry.After(b.expiry) {
		b.expiry = expiry
	}
}

// fill adds what accrued since the last call. Nothing accrues without a lease.
func (b *Bucket) refill(now time.Time) {
	if !now.Before(b.expiry) {
		b.tokens = 0
		b.refilledAt = now
		return
	}
	if now.After(b.refilledAt) {
		b.tokens = math.Min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// Take spends n tokens if the lease lives and they are there.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens < n || !now.Before(b.expiry) {
		return false
	}
	b.tokens -= n
	return true
}

// WaitTime returns how long it takes until n tokens are there, or false when
// the share can never hold n.
func (b *Bucket) WaitTime(now time.Time, n float64) (time.Duration, bool) {
	b.refill(now)
	if b.tokens >= n {
		return 0, true
	}
	if b.burst < n || b.rate <= 0 {
		return 0, false
	}
	return time.Duration(math.Ceil((n - b.tokens) / b.rate * float64(time.Second))), true
}

// Tokens returns what can be spent now.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Counter is a share of a count; its zero value has nothing to take.
type Counter struct {
	share  uint32
	used   uint32
	expiry time.Time // end of the lease
}

// Resize gives the counter a new share; more than the share may stay in use until it is released.
func (c *Counter) Resize(share uint32) { c.share = share }

// Renew extends the lease to until.
func (c *Counter) Renew(expiry time.Time) {
	if expiry.After(c.expiry) {
		c.expiry = expiry
	}
}

// Take uses one unit if the lease lives and one is free.
func (c *Counter) Take(now time.Time) bool {
	if c.used >= c.share || !now.Before(c.expiry) {
		return false
	}
	c.used++
	return true
}

// Use counts one unit without regard to share and lease, for a quantity that
// is not limited now and may become so while the unit is in use.
func (c *Counter) Use() { c.used++ }

// Release gives one unit back.
func (c *Counter) Release() {
	if c.used > 0 {
		c.used--
	}
}

// Used returns the units in use.
func (c *Counter) Used() uint32 { return c.used }

// Share returns the units of the share.
func (c *Counter) Share() uint32 { return c.share }

// Free returns the units that can be taken now.
func (c *Counter) Free(now time.Time) uint32 {
	if c.used >= c.share || !now.Before(c.expiry) {
		return 0
	}
	return c.share - c.used
}

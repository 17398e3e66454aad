package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket for a share of a rate limit; its zero value has no tokens and no lease.
type Bucket struct {
	rate       float64 // tokens per second
	burst      float64
	tokens     float64
	reserved   float64   // tokens that were taken and not spent yet
	refilledAt time.Time // time of the last refill
	expiry     time.Time // end of the lease
}

// Resize sets the share, as a rate in tokens per second and a burst in tokens. Tokens beyond the new burst are
// discarded, and none are added.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = math.Min(b.tokens, b.room())
}

// Renew extends the lease to expiry, or leaves it unchanged if that is earlier. If the lease had already expired, the
// bucket starts empty, because the allocator may have given the burst to another holder.
func (b *Bucket) Renew(now, expiry time.Time) {
	b.refill(now)
	if expiry.After(b.expiry) {
		b.expiry = expiry
	}
}

// refill adds the tokens that accrued since the last call, or removes all tokens if the lease has expired.
func (b *Bucket) refill(now time.Time) {
	if !now.Before(b.expiry) {
		b.tokens = 0
		b.refilledAt = now
		return
	}
	if now.After(b.refilledAt) {
		b.tokens = math.Min(b.room(), b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// Take removes n tokens. It returns false if there are fewer or the lease has expired.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens < n || !now.Before(b.expiry) {
		return false
	}
	b.tokens -= n
	return true
}

// Reserve takes a token that is spent later. Until then it takes up room in the bucket, so that what is spent stays within
// the rate and the burst however late it is. It returns false if there is no token or the lease has expired.
func (b *Bucket) Reserve(now time.Time) bool {
	if !b.Take(now, 1) {
		return false
	}
	b.reserved++
	return true
}

// Spend ends a reservation. It returns false if the token must not be used, because the burst was lowered meanwhile.
func (b *Bucket) Spend(now time.Time) bool {
	b.refill(now)
	b.reserved--
	return b.reserved+1 <= b.burst
}

// room returns the highest number of tokens that the bucket may hold now.
func (b *Bucket) room() float64 { return math.Max(0, b.burst-b.reserved) }

// WaitTime returns the time until n tokens are available, or false if the share can never hold that many.
func (b *Bucket) WaitTime(now time.Time, n float64) (time.Duration, bool) {
	b.refill(now)
	if b.tokens >= n {
		return 0, true
	}
	if b.room() < n || b.rate <= 0 {
		return 0, false
	}
	return time.Duration(math.Ceil((n - b.tokens) / b.rate * float64(time.Second))), true
}

// Tokens returns the number of tokens that are available.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Counter is a share of a limit on units in use at the same time; its zero value has no share and no lease.
type Counter struct {
	share  uint32
	used   uint32
	expiry time.Time // end of the lease
}

// Resize sets the share. If more units than that are in use, they remain in use until they are released.
func (c *Counter) Resize(share uint32) { c.share = share }

// Renew extends the lease to expiry, or leaves it unchanged if that is earlier.
func (c *Counter) Renew(expiry time.Time) {
	if expiry.After(c.expiry) {
		c.expiry = expiry
	}
}

// Take adds one unit in use. It returns false if none is free or the lease has expired.
func (c *Counter) Take(now time.Time) bool {
	if c.used >= c.share || !now.Before(c.expiry) {
		return false
	}
	c.used++
	return true
}

// Use adds one unit in use regardless of the share and the lease. It is for a quantity without a limit, which may get
// a limit while the unit is in use.
func (c *Counter) Use() { c.used++ }

// Release returns one unit that is in use.
func (c *Counter) Release() {
	if c.used > 0 {
		c.used--
	}
}

// Used returns the number of units in use.
func (c *Counter) Used() uint32 { return c.used }

// Share returns the number of units in the share.
func (c *Counter) Share() uint32 { return c.share }

// Free returns the number of units that can be taken at the moment.
func (c *Counter) Free(now time.Time) uint32 {
	if c.used >= c.share || !now.Before(c.expiry) {
		return 0
	}
	return c.share - c.used
}

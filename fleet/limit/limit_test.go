package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
)

var start = time.Unix(1_800_000_000, 0)

func startPlus(d time.Duration) time.Time { return start.Add(d) }

// Guards against a bucket that provides tokens which did not accrue during its lease.
func TestBucket(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(b *Bucket)
		at   time.Duration
		want float64
	}{
		{"just renewed", func(*Bucket) {}, 0, 0},
		{"accrues", func(*Bucket) {}, 200 * time.Millisecond, 2},
		{"accrues up to the burst", func(*Bucket) {}, 2 * time.Second, 5},
		{"burst raised", func(b *Bucket) { b.Resize(startPlus(time.Second), 10, 50) }, time.Second, 5},
		{"burst lowered", func(b *Bucket) { b.Resize(startPlus(time.Second), 10, 2) }, time.Second, 2},
		{"expired", func(*Bucket) {}, 3 * time.Second, 0},
		{"renewed after expiry", func(b *Bucket) { b.Renew(startPlus(4*time.Second), startPlus(7*time.Second)) }, 4100 * time.Millisecond, 1},
		{"renewed in time", func(b *Bucket) { b.Renew(startPlus(2*time.Second), startPlus(5*time.Second)) }, 4 * time.Second, 5},
		{"renewal never shortens", func(b *Bucket) { b.Renew(startPlus(time.Second), startPlus(time.Second)) }, 2 * time.Second, 5},
		{"tokens taken", func(b *Bucket) { b.Take(startPlus(time.Second), 4) }, time.Second, 1},
		{"too few tokens", func(b *Bucket) { b.Take(startPlus(time.Second), 6) }, time.Second, 5},
		{"clock moves backward", func(b *Bucket) { b.Tokens(startPlus(time.Second)) }, 500 * time.Millisecond, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b Bucket
			is.True(!b.Take(start, 0.1))
			b.Resize(start, 10, 5)
			b.Renew(start, startPlus(3*time.Second))
			c.run(&b)
			is.Equal(b.Tokens(startPlus(c.at)), c.want)
			is.Equal(b.Take(startPlus(c.at), c.want+0.001), false)
		})
	}
}

// Guards against more spending than rate and burst allow because tokens are spent some time after they were taken.
func TestReservedTokensTakeUpRoom(t *testing.T) {
	is := is.New(t)
	var b Bucket
	b.Resize(start, 10, 5)
	b.Renew(start, startPlus(time.Minute))
	now := startPlus(time.Second)
	for range 4 {
		is.True(b.Reserve(now))
	}
	now = startPlus(10 * time.Second)
	is.Equal(b.Tokens(now), 1.0) // the reservations fill the rest
	_, possible := b.WaitTime(now, 2)
	is.True(!possible)
	is.True(b.Spend(now))
	is.Equal(b.Tokens(startPlus(11*time.Second)), 2.0)
	b.Resize(startPlus(11*time.Second), 10, 2)
	is.True(!b.Spend(startPlus(11 * time.Second))) // 3 reservations, and a burst of 2
	is.True(b.Spend(startPlus(11 * time.Second)))
}

// Guards against a wait time that is too short, and against one for more tokens than the burst allows.
func TestWaitTime(t *testing.T) {
	for _, c := range []struct {
		n     float64
		delay time.Duration
		ok    bool
	}{
		{1, 100 * time.Millisecond, true},
		{5, 500 * time.Millisecond, true},
		{6, 0, false},
	} {
		is := is.New(t)
		var b Bucket
		b.Resize(start, 10, 5)
		b.Renew(start, startPlus(3*time.Second))
		delay, ok := b.WaitTime(start, c.n)
		is.Equal(delay, c.delay)
		is.Equal(ok, c.ok)
		if ok {
			is.True(b.Take(startPlus(delay), c.n))
		}
	}
}

// Guards against a counter that exceeds its share or is used without a lease.
func TestCounter(t *testing.T) {
	is := is.New(t)
	var c Counter
	is.True(!c.Take(start))
	c.Resize(2)
	is.True(!c.Take(start))
	c.Renew(startPlus(time.Second))
	is.True(c.Take(start))
	is.True(c.Take(start))
	is.True(!c.Take(start))
	c.Resize(1)
	c.Release()
	is.True(!c.Take(start)) // one is still in use
	c.Release()
	is.Equal(c.Free(start), uint32(1))
	is.Equal(c.Free(startPlus(time.Second)), uint32(0))
	is.True(!c.Take(startPlus(time.Second)))
	c.Release()
	is.Equal(c.Used(), uint32(0))
	c.Use()
	is.Equal(c.Used(), uint32(1))
}

// Guards against ids from which Split does not return the original kind and name.
func TestSplit(t *testing.T) {
	for _, c := range []struct {
		id     ident.Limit
		kind   Kind
		name   string
		isRate bool
	}{
		{OfWorkspace("w"), Workspace, "w", true},
		{OfSlots("127.0.0.1:1"), Slots, "127.0.0.1:1", false},
		{OfConnections("[::1]:1"), Connections, "[::1]:1", false},
		{OfRegion("r"), Region, "r", false},
		{OfLink("a", "b"), Link, "a>b", true},
		{OfShift("s"), Shift, "s", true},
	} {
		is := is.New(t)
		kind, name := Split(c.id)
		is.Equal(kind, c.kind)
		is.Equal(name, c.name)
		is.Equal(kind.IsRate(), c.isRate)
	}
}

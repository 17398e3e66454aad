package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/settings"
)

// echoLink returns a running link to a target that echoes.
func echoLink(t *testing.T, set LinkSettings) *Link {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	set.Name, set.Listen, set.Target = "test", "127.0.0.1:0", target.Addr().String()
	l := NewLink(set, clock.System{}, log)
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Stop)
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Status().Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// echoed sends text and reports whether it came back within wait, and when.
func echoed(c net.Conn, text string, wait time.Duration) (bool, time.Duration) {
	start := time.Now()
	c.SetDeadline(start.Add(wait))
	if _, err := io.WriteString(c, text); err != nil {
		return false, 0
	}
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	return err == nil && string(got) == text, time.Since(start)
}

// Guards against a delay that is applied once, or to connections only.
func TestDelayAppliesEachWay(t *testing.T) {
	is := is.New(t)
	c := dial(t, echoLink(t, LinkSettings{Delay: 40 * time.Millisecond}))
	echoed(c, "first", 5*time.Second)
	ok, took := echoed(c, "second", 5*time.Second)
	is.True(ok)
	is.True(took >= 80*time.Millisecond) // 40 ms each way
}

// Guards against a cut that loses bytes or that stops new connections only.
func TestCutHoldsBytesUntilItEnds(t *testing.T) {
	for _, cut := range []Cut{Forward, Back, Both} {
		t.Run(string(cut), func(t *testing.T) {
			is := is.New(t)
			l := echoLink(t, LinkSettings{})
			c := dial(t, l)
			ok, _ := echoed(c, "before", 5*time.Second)
			is.True(ok)
			l.Set(State{Cut: cut})
			ok, _ = echoed(c, "during", 100*time.Millisecond)
			is.True(!ok)
			fresh := dial(t, l)
			ok, _ = echoed(fresh, "new", 100*time.Millisecond)
			is.True(!ok)
			l.Set(State{})
			c.SetDeadline(time.Now().Add(5 * time.Second))
			got := make([]byte, len("during"))
			_, err := io.ReadFull(c, got)
			is.NoErr(err)
			is.Equal(string(got), "during")
		})
	}
}

// Guards against silence that also stops new connections or that closes the old ones.
func TestSilenceIsForOpenConnectionsOnly(t *testing.T) {
	is := is.New(t)
	l := echoLink(t, LinkSettings{})
	old := dial(t, l)
	ok, _ := echoed(old, "before", 5*time.Second)
	is.True(ok)
	l.Silence()
	ok, _ = echoed(old, "after", 100*time.Millisecond)
	is.True(!ok)
	ok, _ = echoed(dial(t, l), "new", 5*time.Second)
	is.True(ok)
	is.Equal(l.Status().Silent, 1)
	is.Equal(l.Status().Open, 1)
}

// Guards against a rate that each connection gets for itself.
func TestRateIsSharedByConnections(t *testing.T) {
	is := is.New(t)
	l := echoLink(t, LinkSettings{Rate: 8}) // 1 MB/s
	start := time.Now()
	done := make(chan bool, 2)
	for range 2 {
		c := dial(t, l)
		go func() {
			ok, _ := echoed(c, string(make([]byte, 150_000)), 10*time.Second)
			done <- ok
		}()
	}
	is.True(<-done)
	is.True(<-done)
	is.True(time.Since(start) >= 290*time.Millisecond) // 300 kB at 1 MB/s
	is.Equal(l.Status().Forward, l.Status().Back)
}

// Guards against an orderly end that turns into a reset and loses the answer.
func TestOrderlyEndIsPassedOn(t *testing.T) {
	is := is.New(t)
	c := dial(t, echoLink(t, LinkSettings{Delay: 10 * time.Millisecond}))
	io.WriteString(c, "last words")
	c.(*net.TCPConn).CloseWrite()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "last words")
}

// Guards against settings with several faults that report one only.
func TestSettingsReportAllFaults(t *testing.T) {
	is := is.New(t)
	s := Defaults()
	err := settings.Parse("relay.toml", `
level = "loud"
[[link]]
name = "a b"
listen = "x"
target = "127.0.0.1:1"
delay = "-1s"
rate = -2.0
`, &s)
	problems, ok := err.(*settings.Problems)
	is.True(ok)
	is.Equal(len(problems.List), 5)
}

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

// startEchoLink returns a running link to an echo server.
func startEchoLink(t *testing.T, config LinkSettings) *Link {
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
	config.Name, config.Listen, config.Target = "test", "127.0.0.1:0", target.Addr().String()
	l := NewLink(config, clock.System{}, log)
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

// echo sends text and reports whether it is echoed within timeout, and after which time.
func echo(c net.Conn, text string, timeout time.Duration) (bool, time.Duration) {
	start := time.Now()
	c.SetDeadline(start.Add(timeout))
	if _, err := io.WriteString(c, text); err != nil {
		return false, 0
	}
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	return err == nil && string(got) == text, time.Since(start)
}

// Guards against a delay that applies to one direction only, or only to the connection setup.
func TestDelayAppliesInEachDirection(t *testing.T) {
	is := is.New(t)
	c := dial(t, startEchoLink(t, LinkSettings{Delay: 40 * time.Millisecond}))
	echo(c, "first", 5*time.Second)
	ok, took := echo(c, "second", 5*time.Second)
	is.True(ok)
	is.True(took >= 80*time.Millisecond) // 40 ms each way
}

// Guards against a cut that loses bytes, or that affects only new connections.
func TestCutDelaysBytesUntilItEnds(t *testing.T) {
	for _, cut := range []CutDirection{CutForward, CutBack, CutBoth} {
		t.Run(string(cut), func(t *testing.T) {
			is := is.New(t)
			l := startEchoLink(t, LinkSettings{})
			c := dial(t, l)
			ok, _ := echo(c, "before", 5*time.Second)
			is.True(ok)
			l.SetState(LinkState{Cut: cut})
			ok, _ = echo(c, "during", 100*time.Millisecond)
			is.True(!ok)
			newConn := dial(t, l)
			ok, _ = echo(newConn, "new", 100*time.Millisecond)
			is.True(!ok)
			l.SetState(LinkState{})
			c.SetDeadline(time.Now().Add(5 * time.Second))
			got := make([]byte, len("during"))
			_, err := io.ReadFull(c, got)
			is.NoErr(err)
			is.Equal(string(got), "during")
		})
	}
}

// Guards against silence that affects new connections, or that closes the silenced ones.
func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	is := is.New(t)
	l := startEchoLink(t, LinkSettings{})
	oldConn := dial(t, l)
	ok, _ := echo(oldConn, "before", 5*time.Second)
	is.True(ok)
	l.SilenceConnections()
	ok, _ = echo(oldConn, "after", 100*time.Millisecond)
	is.True(!ok)
	ok, _ = echo(dial(t, l), "new", 5*time.Second)
	is.True(ok)
	is.Equal(l.Status().SilentConnections, 1)
	is.Equal(l.Status().OpenConnections, 1)
}

// Guards against a rate limit that applies to each connection separately.
func TestRateIsSharedByConnections(t *testing.T) {
	is := is.New(t)
	l := startEchoLink(t, LinkSettings{Rate: 8}) // 1 MB/s
	start := time.Now()
	done := make(chan bool, 2)
	for range 2 {
		c := dial(t, l)
		go func() {
			ok, _ := echo(c, string(make([]byte, 150_000)), 10*time.Second)
			done <- ok
		}()
	}
	is.True(<-done)
	is.True(<-done)
	is.True(time.Since(start) >= 290*time.Millisecond) // 300 kB at 1 MB/s
	is.Equal(l.Status().ForwardBytes, l.Status().BackBytes)
}

// Guards against a half-close that is forwarded as a reset, which loses the rest of the response.
func TestHalfCloseIsForwarded(t *testing.T) {
	is := is.New(t)
	c := dial(t, startEchoLink(t, LinkSettings{Delay: 10 * time.Millisecond}))
	io.WriteString(c, "last words")
	c.(*net.TCPConn).CloseWrite()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "last words")
}

// Guards against a settings check that stops at the first problem.
func TestSettingsReportAllProblems(t *testing.T) {
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

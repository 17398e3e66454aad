package gateway

import (
	"context"
	"io"
	"testing"
	"time"
)

// Guards against a graceful shutdown that reads a request and drops it, because its head was still arriving when the
// server began to shut down.
func TestShutdownAnswersRequestWhoseHeadIsArriving(t *testing.T) {
	u := &recordingUpstream{body: "ok"}
	b := newHarness(t, map[string]string{"forecast": u.start(t)}, 0)
	const head = " /forecast/a HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 4s\r\nAuthorization: " + bearer + "\r\n\r\n"
	first, kept := b.dial(), b.dial()
	_, _ = io.WriteString(kept, "GET"+head)
	b.Equal(kept.readResponse().Close, false)
	for _, c := range []*caller{first, kept} {
		_, _ = io.WriteString(c, "GET /fore")
	}
	for end := time.Now().Add(2 * time.Second); b.listener.Count().Idle != 0; time.Sleep(time.Millisecond) {
		b.True(time.Now().Before(end)) // the server must read the first bytes
	}
	b.gateway.Leave()
	b.NoErr(b.listener.EndAccepting(context.Background()))
	ended := make(chan error, 1)
	go func() { ended <- b.listener.Shutdown(context.Background(), b.server) }()
	time.Sleep(50 * time.Millisecond)
	for _, c := range []*caller{first, kept} {
		_, _ = io.WriteString(c, head[len(" /fore"):])
		b.Equal(c.readResponse().StatusCode, 200)
	}
	b.NoErr(<-ended)
	b.Equal(u.runCount(), 3)
}

// Guards against a graceful shutdown that waits for a request of which only the first byte ever arrives.
func TestShutdownIsNotHeldByTheFirstByteOfARequest(t *testing.T) {
	u := &recordingUpstream{body: "ok"}
	b := newHarness(t, map[string]string{"forecast": u.start(t)}, 0)
	kept := b.dial()
	_, err := io.WriteString(kept, "GET /forecast/a HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 4s\r\nAuthorization: "+bearer+"\r\n\r\n")
	b.NoErr(err)
	b.Equal(kept.readResponse().Close, false)
	_, err = io.WriteString(kept, "G")
	b.NoErr(err)
	for end := time.Now().Add(2 * time.Second); b.listener.Count().Idle != 0; time.Sleep(time.Millisecond) {
		b.True(time.Now().Before(end)) // the server must read the byte
	}
	b.gateway.Leave()
	b.NoErr(b.listener.EndAccepting(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), headerTimeout+2*time.Second)
	defer cancel()
	b.NoErr(b.listener.Shutdown(ctx, b.server)) // the request's header must be complete within headerTimeout
}

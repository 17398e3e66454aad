package process

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
)

// Guards against a program that ends before its last log lines are written.
func TestFlushWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var written bytes.Buffer
	reader, writer := io.Pipe()
	o := NewOutput(writer)
	log := NewLogger(o, "info")
	log.Info("stopped")
	read := make(chan struct{})
	go func() {
		defer close(read)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(&written, reader)
	}()
	o.Flush(clock.System{}, 5*time.Second)
	is.Equal(o.pending.Load(), int64(0))
	is.NoErr(writer.Close())
	<-read
	is.True(bytes.Contains(written.Bytes(), []byte("stopped")))
}

// Guards against a program that cannot end because nobody reads its output.
func TestFlushIsBounded(t *testing.T) {
	_, writer := io.Pipe()
	o := NewOutput(writer)
	NewLogger(o, "info").Info("never read")
	done := make(chan struct{})
	go func() { o.Flush(clock.System{}, 10*time.Millisecond); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Flush did not return after its timeout")
	}
}

// Guards against a program whose memory fills up with long lines while nobody reads its output.
func TestQueuedLinesAreLimitedInBytes(t *testing.T) {
	is := is.New(t)
	_, writer := io.Pipe()
	o := NewOutput(writer)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range maxQueuedLines / 2 {
		n, err := o.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(o.pendingBytes.Load() <= maxQueuedBytes)
	is.True(o.pending.Load() >= maxQueuedBytes/int64(len(line))) // as many as the limit permits
	is.Equal(o.Dropped(), maxQueuedLines/2-o.pending.Load())
}

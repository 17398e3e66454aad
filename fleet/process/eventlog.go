package process

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
)

const (
	// maxQueuedLines is how many lines an Output queues for its writer.
	maxQueuedLines = 4096
	// maxQueuedBytes limits the length of these lines. A line may contain what a caller chose, such as a request's ID.
	maxQueuedBytes = 4 << 20
	// maxLinesPerSecond limits the log lines of each kind.
	maxLinesPerSecond = 50
)

// Output is an io.Writer that never blocks. It queues lines, and drops and counts those for which the queue is full
// because the reader of the process's output is too slow.
type Output struct {
	lines        chan []byte
	pending      atomic.Int64 // lines that are queued or being written
	pendingBytes atomic.Int64 // their length
	dropped      atomic.Int64
}

// NewOutput returns an Output that writes to w from a goroutine of its own.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range o.lines {
			// Errors are ignored: if the output is closed, there is nowhere to report them.
			_, _ = w.Write(line)
			o.pendingBytes.Add(-int64(len(line)))
			o.pending.Add(-1)
		}
	}()
	return o
}

// Write implements io.Writer.
func (o *Output) Write(line []byte) (int, error) {
	length := int64(len(line))
	o.pending.Add(1)
	if o.pendingBytes.Add(length) <= maxQueuedBytes {
		select {
		case o.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	o.pendingBytes.Add(-length)
	o.pending.Add(-1)
	o.dropped.Add(1)
	return len(line), nil
}

// flushInterval is the time between two checks for lines that are not written yet.
const flushInterval = 2 * time.Millisecond

// Flush waits until the queued lines are written, at most for timeout. A program calls it before it exits.
func (o *Output) Flush(c clock.Clock, timeout time.Duration) {
	for end := c.Now().Add(timeout); o.pending.Load() > 0 && c.Now().Before(end); {
		<-c.After(flushInterval)
	}
}

// Dropped returns the number of lines dropped since the last call.
func (o *Output) Dropped() int64 { return o.dropped.Swap(0) }

// EventLog writes log lines about events, up to a maximum per second for each kind of event.
type EventLog struct {
	logrus.FieldLogger
	Clock  clock.Clock
	Output *Output // output of the logger; nil if it does not drop lines

	mu            sync.Mutex
	currentSecond int64
	written       map[string]int
	suppressed    map[string]int
}

// Event writes a line at level Warn or Info, unless the maximum for its kind is reached in the current second.
func (j *EventLog) Event(level logrus.Level, kind string, fields logrus.Fields, message string) {
	if !j.allow(kind) {
		return
	}
	entry := j.FieldLogger.WithFields(fields)
	if level == logrus.WarnLevel {
		entry.Warn(message)
		return
	}
	entry.Info(message)
}

func (j *EventLog) allow(kind string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now := j.Clock.Now().Unix(); now != j.currentSecond || j.written == nil {
		j.currentSecond, j.written = now, map[string]int{}
	}
	if j.written[kind] >= maxLinesPerSecond {
		if j.suppressed == nil {
			j.suppressed = map[string]int{}
		}
		j.suppressed[kind]++
		return false
	}
	j.written[kind]++
	return true
}

// LogDropped logs how many lines of each kind were dropped since the last call.
func (j *EventLog) LogDropped() {
	j.mu.Lock()
	suppressed := j.suppressed
	j.suppressed = nil
	j.mu.Unlock()
	for kind, n := range suppressed {
		j.FieldLogger.WithFields(logrus.Fields{"event": "left_out", "kind": kind, "lines": n}).Info("log lines dropped: too many per second")
	}
	if j.Output == nil {
		return
	}
	if n := j.Output.Dropped(); n > 0 {
		j.FieldLogger.WithFields(logrus.Fields{"event": "left_out", "kind": "unread", "lines": n}).Warn("log lines dropped: output is not read in time")
	}
}

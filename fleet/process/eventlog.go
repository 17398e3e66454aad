package process

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
)

const (
	// lineQueue is how many lines may wait for a reader of the process's output.
	maxQueuedLines = 4096
	// linesPerKind is how many lines of one kind are written in a second.
	maxLinesPerSecond = 50
)

// Output writes lines without ever blocking the writer: what its reader does not take in time is counted
// and left out.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewOutput returns an Output in front of to, which is written by a goroutine of its own.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range o.lines {
			// A reader that has gone leaves nobody to tell.
			_, _ = w.Write(line)
		}
	}()
	return o
}

// Write implements io.Writer.
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out because nobody read them, and starts anew.
func (o *Output) Dropped() int64 { return o.dropped.Swap(0) }

// EventLog writes the lines of decisions, so many of each kind in a second.
type EventLog struct {
	logrus.FieldLogger
	Clock  clock.Clock
	Output *Output // nil where lines are never lost behind the logger

	mu            sync.Mutex
	currentSecond int64
	written       map[string]int
	suppressed    map[string]int
}

// Event writes a line unless its kind had its share of this second.
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

// LogDropped writes how many lines of each kind were left out since the last call.
func (j *EventLog) LogDropped() {
	j.mu.Lock()
	suppressed := j.suppressed
	j.suppressed = nil
	j.mu.Unlock()
	for kind, n := range suppressed {
		j.FieldLogger.WithFields(logrus.Fields{"event": "left_out", "kind": kind, "lines": n}).Info("lines left out")
	}
	if j.Output == nil {
		return
	}
	if n := j.Output.Dropped(); n > 0 {
		j.FieldLogger.WithFields(logrus.Fields{"event": "left_out", "kind": "unread", "lines": n}).Warn("lines left out because nobody read them")
	}
}

package replica

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cuminfall.example/control/journal"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newTestLog returns a log whose lines are shown if the test fails.
func newTestLog(t *testing.T) logrus.FieldLogger {
	lines := &lockedBuffer{}
	log := logrus.New()
	log.SetOutput(lines)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the members:\n%s", lines)
		}
	})
	return log
}

// slowDisk is a Disk whose syncs of files take a time longer.
type slowDisk struct {
	journal.Disk
	delay atomic.Int64 // as time.Duration
}

type slowFile struct {
	journal.File
	disk *slowDisk
}

func (d *slowDisk) Create(name string) (journal.File, error) {
	f, err := d.Disk.Create(name)
	return slowFile{f, d}, err
}

func (f slowFile) Sync() error {
	time.Sleep(time.Duration(f.disk.delay.Load()))
	return f.File.Sync()
}

// Guards against a change of leaders whose cause, a stalled disk, nothing tells.
func TestSlowWriteIsLogged(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(Init(folder, "vm", "127.0.0.1:1", nil))
	disk, err := journal.OpenFolder(folder)
	is.NoErr(err)
	slow := &slowDisk{Disk: disk}
	lines := &lockedBuffer{}
	log := logrus.New()
	log.SetOutput(lines)
	r, err := Open(Options{Name: "vm", Address: "127.0.0.1:1", Disk: slow, StateMachine: &recordingMachine{}, Log: log})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	waitFor(t, "a leader", func() bool { _, _, ok := r.Leadership(); return ok })
	slow.delay.Store(int64(slowWriteTime))
	_, err = r.Propose(ctx, []byte("late"))
	is.NoErr(err)
	cancel()
	is.NoErr(<-done)
	is.NoErr(disk.Close())
	is.True(strings.Contains(lines.String(), "slow_disk"))
}

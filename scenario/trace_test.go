package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// keepLogs copies the log files of the fleet's processes to a folder that outlasts the test, and returns where they are.
func (f *fleet) keepLogs() string {
	dir, err := os.MkdirTemp("", "cuminfall-logs")
	if err != nil {
		return err.Error()
	}
	for _, name := range f.processOrder {
		text, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name+".log"), text, 0o600)
		}
		if err != nil {
			return err.Error()
		}
	}
	return "the logs of the fleet are kept in " + dir + "; "
}

// syncProbe measures the disk of the fleets by a small write and a sync at intervals. The members of a control group wait for
// such syncs, too.
type syncProbe struct {
	mu      sync.Mutex
	longest time.Duration
	at      time.Time
}

var diskProbe syncProbe

// run probes the disk of a folder until the process ends.
func (p *syncProbe) run(dir string) {
	file, err := os.Create(filepath.Join(dir, "probe"))
	if err != nil {
		return
	}
	defer file.Close()
	for range time.Tick(100 * time.Millisecond) {
		startedAt := time.Now()
		if _, err := file.WriteAt(make([]byte, 4096), 0); err != nil {
			return
		}
		if err := file.Sync(); err != nil {
			return
		}
		p.mu.Lock()
		if took := time.Since(startedAt); took > p.longest {
			p.longest, p.at = took, startedAt
		}
		p.mu.Unlock()
	}
}

// slowest returns when the slowest sync began and what it took.
func (p *syncProbe) slowest() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("the slowest sync of a probe on the same disk took %s, from %s on", p.longest, p.at.Format("15:04:05.000"))
}

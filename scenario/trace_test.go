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
	return "the logs of the fleet are kept in " + dir
}

// delays are the longest delays of one kind.
type delays struct {
	mu      sync.Mutex
	longest []delay // at most keptDelays, longest first
}

type delay struct {
	took time.Duration
	at   time.Time
}

const keptDelays = 5

func (d *delays) add(startedAt time.Time, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := 0
	for i < len(d.longest) && d.longest[i].took >= took {
		i++
	}
	d.longest = append(d.longest[:i:i], append([]delay{{took, startedAt}}, d.longest[i:]...)...)
	d.longest = d.longest[:min(len(d.longest), keptDelays)]
}

func (d *delays) String() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	text := ""
	for _, l := range d.longest {
		text += fmt.Sprintf(" %s from %s on,", l.took.Round(time.Millisecond), l.at.Format("15:04:05.000"))
	}
	return text
}

// machineProbe measures what all fleets of this process depend on: the disk, for which the members of a control group wait,
// and the processor time of this process, through which all their connections pass.
type machineProbe struct{ syncs, sleeps delays }

var probe machineProbe

func (p *machineProbe) String() string {
	return fmt.Sprintf("longest syncs of the disk:%v longest delays of this process:%v", &p.syncs, &p.sleeps)
}

// runSyncs syncs a small write to a file in a folder at intervals, until the process ends.
func (p *machineProbe) runSyncs(dir string) {
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
		p.syncs.add(startedAt, time.Since(startedAt))
	}
}

// runSleeps measures how much longer than asked the process sleeps, until it ends.
func (p *machineProbe) runSleeps() {
	const pause = 10 * time.Millisecond
	for {
		startedAt := time.Now()
		time.Sleep(pause)
		p.sleeps.add(startedAt, time.Since(startedAt)-pause)
	}
}

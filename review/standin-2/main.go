// Command standin plays the cases of the review: it starts the project's programs as processes of a small deployment on
// loopback addresses, and stands in for the platform, the operator, the callers and the endpoints.
//
// Usage: standin CASE RECORD, from the project's root, after the build of the deploy file. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the functions that play a case and return its exit code. Each case adds its own.
var cases = map[string]func(*deployment) int{}

// longest is the time after which a case that has not ended counts as one that could not run.
const longest = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	rec := &record{file: file, start: time.Now()}
	d, err := newDeployment(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("could not run: %v", err)
		os.Exit(failed)
	}
	var once sync.Once
	end := func(code int) {
		once.Do(func() {
			d.close()
			rec.log("exit code %d", code)
			fmt.Println(rec.last)
			os.Exit(code)
		})
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			rec.log("could not run: ended by a signal")
		case <-time.After(longest):
			rec.log("could not run: it took too long")
		}
		end(failed)
	}()
	end(cases[os.Args[1]](d))
}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	last  string // the last verdict
}

func (r *record) log(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// verdict logs the result of a check and keeps it to be printed.
func (r *record) verdict(format string, a ...any) {
	r.log(format, a...)
	r.last = fmt.Sprintf(format, a...)
}

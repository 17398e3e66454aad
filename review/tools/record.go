package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the case's record.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	end   func() // ends all processes
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &recorder{file: file, start: time.Now(), end: func() {}}
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// finish ends the case with 1 if the rule was broken and 0 if it held.
func (r *recorder) finish(broken bool, format string, args ...any) {
	r.end()
	verdict, code := "HELD", 0
	if broken {
		verdict, code = "BROKEN", 1
	}
	r.note("%s: %s", verdict, fmt.Sprintf(format, args...))
	fmt.Printf("%s: %s\n", verdict, fmt.Sprintf(format, args...))
	os.Exit(code)
}

// cannotRun ends the case with 2.
func (r *recorder) cannotRun(format string, args ...any) {
	r.note("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	r.end()
	os.Exit(2)
}

package harness

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxRun limits a case's duration, with the end of its processes.
const maxRun = 110 * time.Second

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits. The case gets a deployment of 5 control and 3 entry machines and reports whether the rule was
// broken; an error means that the case could not run.
func Main(play func(f *Fleet) (ruleBroken bool, err error)) {
	path := "record.txt"
	if len(os.Args) > 1 {
		path = os.Args[1]
	}
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	f, err := Start(record, 5, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		ruleBroken, err := play(f)
		done <- outcome{ruleBroken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case s := <-signals:
		o.err = fmt.Errorf("stopped by %s", s)
	case <-time.After(maxRun):
		o.err = fmt.Errorf("not done after %s", maxRun)
	}
	f.Close()
	code, text := held, "the rule held"
	switch {
	case o.err != nil:
		code, text = failed, "the case could not run: "+o.err.Error()
	case o.broken:
		code, text = broken, "the rule was broken"
	}
	record.Line("end: %s", text)
	record.Close()
	fmt.Println(text)
	os.Exit(code)
}

// Prepare sends the config, starts endpoints and waits until the entry machines serve them.
func (f *Fleet) Prepare(routes map[string]Route, service string, endpoints int, handle Handler) error {
	if err := f.Replace(1, routes, []string{service}); err != nil {
		return err
	}
	for n := range endpoints {
		if _, err := f.NewEndpoint(n, service, handle); err != nil {
			return err
		}
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// settleTime is enough for all endpoints to be known on all entry machines.
const settleTime = 5 * time.Second

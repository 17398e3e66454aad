package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"cuminfall.example/cuminfall/client"
	"cuminfall.example/fleet/clock"
)

func (f *fleet) address(name string) string {
	return fmt.Sprintf("%s:%d", f.procs[name].host, frontPort)
}

// leader returns the name of the leading control member, which it awaits.
func (f *fleet) leader() (string, error) {
	names := []string{"control1", "control2", "control3"}
	for range 200 {
		for _, name := range names {
			list, err := client.Connect(clock.System{}, []string{f.address(name)}).Status(context.Background())
			if err == nil && list[0].Reply.Role == "leader" {
				return name, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", errors.New("no member leads")
}

// cmdLeader awaits a leading control member and sets a variable to its name: leader NAME.
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	name, err := fleetOf(ts).leader()
	ts.Check(err)
	ts.Setenv(args[0], name)
}

// onLeader does one thing to the leader, waits and undoes it.
func (f *fleet) onLeader(span time.Duration, do, undo func(*fleet, string) error) error {
	name, err := f.leader()
	if err != nil {
		return err
	}
	if err := do(f, name); err != nil {
		return err
	}
	time.Sleep(span)
	return undo(f, name)
}

func (f *fleet) crashLeader(seconds int) error {
	return f.onLeader(time.Duration(seconds)*time.Second, (*fleet).kill, (*fleet).start)
}

func (f *fleet) freezeLeader(span time.Duration) error {
	return f.onLeader(span, (*fleet).freeze, (*fleet).thaw)
}

func (f *fleet) cutLeader(span time.Duration) error {
	return f.onLeader(span, (*fleet).cutFromGroup, (*fleet).healToGroup)
}

func (f *fleet) cutFromGroup(name string) error { return f.group(name, true) }
func (f *fleet) healToGroup(name string) error  { return f.group(name, false) }

func (f *fleet) group(name string, cutOff bool) error {
	for _, other := range []string{"control1", "control2", "control3"} {
		if other == name {
			continue
		}
		list, err := f.links(name, other)
		if err != nil {
			return err
		}
		for _, l := range list {
			if cutOff {
				cut(l)
			} else {
				heal(l)
			}
		}
	}
	return nil
}

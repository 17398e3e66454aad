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

// proxyAddress returns the address at which other processes reach a process.
func (f *fleet) proxyAddress(name string) string {
	return fmt.Sprintf("%s:%d", f.processes[name].host, proxyPort)
}

// leader waits until a control member is leader and returns its name.
func (f *fleet) leader() (string, error) {
	names := []string{"control1", "control2", "control3"}
	for range 200 {
		for _, name := range names {
			list, err := client.Connect(clock.System{}, []string{f.proxyAddress(name)}).Status(context.Background())
			if err == nil && list[0].Reply.Role == "leader" {
				return name, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", errors.New("no control member is leader after 10 s")
}

// cmdLeader waits until a control member is leader and sets a variable to its name: leader VARIABLE.
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	name, err := fleetOf(ts).leader()
	ts.Check(err)
	ts.Setenv(args[0], name)
}

// withLeaderFault injects a fault into the leader, waits and restores that member, which may no longer be leader.
func (f *fleet) withLeaderFault(duration time.Duration, inject, restore func(*fleet, string) error) error {
	name, err := f.leader()
	if err != nil {
		return err
	}
	if err := inject(f, name); err != nil {
		return err
	}
	time.Sleep(duration)
	return restore(f, name)
}

func (f *fleet) crashLeader(seconds int) error {
	return f.withLeaderFault(time.Duration(seconds)*time.Second, (*fleet).kill, (*fleet).start)
}

func (f *fleet) freezeLeader(duration time.Duration) error {
	return f.withLeaderFault(duration, (*fleet).freeze, (*fleet).resume)
}

func (f *fleet) cutLeader(duration time.Duration) error {
	return f.withLeaderFault(duration, (*fleet).cutFromGroup, (*fleet).reconnectToGroup)
}

func (f *fleet) cutFromGroup(name string) error     { return f.setGroupLinks(name, true) }
func (f *fleet) reconnectToGroup(name string) error { return f.setGroupLinks(name, false) }

// setGroupLinks cuts or heals the links between a control member and the two others.
func (f *fleet) setGroupLinks(name string, cutOff bool) error {
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
				cutLink(l)
			} else {
				healLink(l)
			}
		}
	}
	return nil
}

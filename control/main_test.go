package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// retryUntilSuccess calls f until it succeeds, and fails the test after 10 s.
func retryUntilSuccess(t *testing.T, f func() error) {
	t.Helper()
	var err error
	for range 100 {
		if err = f(); err == nil {
			return
		}
		<-clock.System{}.After(100 * time.Millisecond)
	}
	t.Fatal(err)
}

// TestControlGroup guards against commands whose parts are not connected: a new group of three members
// must accept a change, give out shares, hand over leadership on a graceful shutdown and keep its state.
func TestControlGroup(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	owners := filepath.Join(dir, "owners.toml")
	is.NoErr(os.WriteFile(owners, []byte(fmt.Sprintf(
		"[[operator]]\nname = \"op\"\nhash = %q\nsections = [\"owners\", \"workspaces\"]\n", ledger.HashCredential("secret"))), 0o600))
	addresses := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	files := make([]string, 3)
	cancels := make([]context.CancelFunc, 3)
	results := make([]chan error, 3)
	for i, a := range addresses {
		files[i] = filepath.Join(dir, fmt.Sprintf("c%d.toml", i))
		is.NoErr(os.WriteFile(files[i], []byte(fmt.Sprintf(
			"name = \"c%d\"\naddress = %q\nadmin = %q\ndata = %q\nlevel = \"error\"\npeers = [%q, %q]\n",
			i, a, freeAddress(t), filepath.Join(dir, fmt.Sprint(i)), addresses[(i+1)%3], addresses[(i+2)%3])), 0o600))
	}
	var out bytes.Buffer
	is.NoErr(run(context.Background(), []string{"init", "--settings", files[0], "--owners", owners}, &out, os.Stderr))
	for i := range files {
		ctx, stop := context.WithCancel(context.Background())
		cancels[i], results[i] = stop, make(chan error, 1)
		go func() { results[i] <- run(ctx, []string{"run", "--settings", files[i]}, os.Stdout, os.Stderr) }()
		t.Cleanup(stop)
	}
	client := &http.Client{Timeout: time.Second}
	operations := make([]rpc.Operations, 3)
	for i, a := range addresses {
		operations[i] = rpc.NewOperationsProtobufClient("http://"+a, client)
	}
	ctx := context.Background()
	change := &rpc.ApplyRequest{Section: "workspaces", Id: "1", Operator: "op", Credential: "secret",
		Text: "[[workspace]]\nname = \"w\"\nrate = 10.0\nburst = 5.0\n"}
	retryUntilSuccess(t, func() error {
		_, err := operations[0].Apply(ctx, change)
		return err
	})
	retryUntilSuccess(t, func() error {
		s, err := operations[0].Status(ctx, &rpc.StatusRequest{})
		for _, m := range s.GetMembers() {
			if !m.GetVoter() {
				err = fault.New(fault.Busy, "join", m.GetName(), "still a learner")
			}
		}
		if err == nil && len(s.GetMembers()) < 3 {
			err = fault.New(fault.Busy, "join", "", "%d members", len(s.GetMembers()))
		}
		return err
	})
	_, err := operations[1].Apply(ctx, change)
	is.Equal(fault.Of(err).Code, fault.NotLeader)
	is.Equal(fault.Of(err).Peer, addresses[0])
	cancels[0]()
	is.NoErr(<-results[0]) // a graceful shutdown exits 0
	retryUntilSuccess(t, func() error { return checkWorkspaceShare(ctx, client, addresses[1:]) })
	cancels[1]()
	cancels[2]()
	is.NoErr(<-results[1])
	is.NoErr(<-results[2])
}

// checkWorkspaceShare requests the shares of an entry VM from each address. It returns nil once a member
// gives the VM the entire rate and burst of the workspace.
func checkWorkspaceShare(ctx context.Context, client *http.Client, addresses []string) error {
	var lastErr error
	for _, a := range addresses {
		r, err := rpc.NewSessionProtobufClient("http://"+a, client).Sync(ctx, &rpc.SyncRequest{
			Vm: "e1", Incarnation: 7, Address: "127.0.0.1:1", Domain: "d"})
		if err != nil {
			lastErr = err
			continue
		}
		if list := r.GetAllotments().GetAllotments(); len(list) == 1 && list[0].GetRate() == 10 && list[0].GetBurst() == 5 {
			return nil
		}
		lastErr = fault.New(fault.Busy, "sync", a, "allotments %v", r.GetAllotments())
	}
	return lastErr
}

// Guards against leases that go on while the VM is suspended.
func TestMemberRunsOnClockThatCountsSuspensions(t *testing.T) {
	is := is.New(t)
	o, err := newRunCommand([]string{"--settings", "control.toml"}, io.Discard)
	is.NoErr(err)
	is.Equal(o.Clock, clock.BootTime{})
}

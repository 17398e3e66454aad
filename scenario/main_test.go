package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// bin is the folder of the compiled programs under test.
var bin string

// lastNetwork is the number of the last loopback network that reserveNetwork tried. Each script has a network of its
// own, so that scripts can run at the same time.
var lastNetwork atomic.Int32

// reserveNetwork returns the number of a free loopback network and a listener that reserves it until closed. Other
// test processes on the same host use networks too.
func reserveNetwork() (int, net.Listener, error) {
	for range 200 {
		n := int(lastNetwork.Add(1)) % 200
		if lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", firstNetworkOctet+n, proxyPort)); err == nil {
			return n, lock, nil
		}
	}
	return 0, nil, errors.New("no free loopback network")
}

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	lastNetwork.Store(int32(os.Getpid() % 200)) // concurrent test processes start at different networks
	dir, err := os.MkdirTemp("", "cuminfall")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./control", "./entry", "./cuminfall", "./load")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	go probe.runSyncs(dir)
	go probe.runSleeps()
	return m.Run()
}

// commands are the commands that scripts can use in addition to those of testscript.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":    cmdFleet,
	"key":      cmdKey,
	"crash":    forEachProcess((*fleet).kill),
	"shutdown": forEachProcess((*fleet).stop),
	"freeze":   forEachProcess((*fleet).freeze),
	"thaw":     forEachProcess((*fleet).resume),
	"start":    forEachProcess((*fleet).start),
	"lose":     forEachProcess((*fleet).killAndRemoveData),
	"cut":      forEachLink(cutLink),
	"heal":     forEachLink(healLink),
	"silence":  forEachLink(silenceLink),
	"slow":     cmdSlow,
	"send":     cmdSend,
	"until":    cmdUntil,
	"await":    cmdAwait,
	"traffic":  cmdTraffic,
	"join":     cmdJoin,
	"expect":   cmdExpect,
	"runs":     cmdRuns,
	"fault":    cmdFault,
	"sleep":    cmdSleep,
	"changes":  cmdChanges,
	"idle":     cmdIdle,
	"leader":   cmdLeader,
}

// Guards against losing one of the fleet's guarantees under faults; the head of each script in testdata names the
// guarantee and the faults.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Cmds:                commands,
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			f, err := newFleet(e.WorkDir)
			if err != nil {
				return err
			}
			e.Values["fleet"] = f
			e.Defer(func() {
				f.close()
				if t, ok := e.T().(interface{ Failed() bool }); ok && t.Failed() {
					e.T().Log(f.keepLogs(), &probe)
				}
			})
			e.Setenv("PATH", bin+string(filepath.ListSeparator)+e.Getenv("PATH"))
			e.Setenv("CUMINFALL_CONTROL", f.controlAddresses())
			e.Setenv("CUMINFALL_OPERATOR", "admin")
			e.Setenv("CUMINFALL_CREDENTIAL", filepath.Join(e.WorkDir, "credential"))
			e.Setenv("HOME", e.WorkDir)
			return nil
		},
	})
}

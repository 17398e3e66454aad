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

// bin is the folder with the programs under test.
var bin string

// nets numbers the loopback networks that were tried; each script has one of its own, so that scripts run side by side.
var nets atomic.Int32

// network reserves a loopback network for this process, as other runs of these tests may be going on.
func network() (int, net.Listener, error) {
	for range 200 {
		n := int(nets.Add(1)) % 200
		if guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", firstNet+n, frontPort)); err == nil {
			return n, guard, nil
		}
	}
	return 0, nil, errors.New("no free loopback network")
}

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	nets.Store(int32(os.Getpid() % 200)) // runs side by side seldom try the same network
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
	return m.Run()
}

// commands are the words that scripts use besides testscript's own.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":    cmdFleet,
	"key":      cmdKey,
	"crash":    each((*fleet).kill),
	"shutdown": each((*fleet).stop),
	"freeze":   each((*fleet).freeze),
	"thaw":     each((*fleet).thaw),
	"start":    each((*fleet).start),
	"lose":     each((*fleet).lose),
	"cut":      link(cut),
	"heal":     link(heal),
	"silence":  link(silence),
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
			e.Defer(f.close)
			e.Setenv("PATH", bin+string(filepath.ListSeparator)+e.Getenv("PATH"))
			e.Setenv("CUMINFALL_CONTROL", f.controls())
			e.Setenv("CUMINFALL_OPERATOR", "admin")
			e.Setenv("CUMINFALL_CREDENTIAL", filepath.Join(e.WorkDir, "credential"))
			e.Setenv("HOME", e.WorkDir)
			return nil
		},
	})
}

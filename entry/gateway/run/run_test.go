package run

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
)

// Guards against wrong command lines and settings that start the program, print no error, or return
// another exit code than the documented one.
func TestCommandLine(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "faulty.toml")
	text := "name = \"a b\"\naddress = \"here\"\nadmin = \"there\"\nlevel = \"loud\"\ncolour = 1\n"
	is.New(t).NoErr(os.WriteFile(faulty, []byte(text), 0o600))
	for _, c := range []struct {
		name string
		args []string
		code int
		out  string
		err  []string
	}{
		{"help", []string{"help"}, 0, "Usage: entry run", nil},
		{"no command", nil, 0, "Usage: entry run", nil},
		{"help of run", []string{"run", "-h"}, 0, "Usage: entry run", nil},
		{"unknown command", []string{"walk"}, 2, "", []string{`unknown command "walk"`}},
		{"unknown flag", []string{"run", "--colour"}, 2, "", []string{"colour"}},
		{"no settings", []string{"run"}, 2, "", []string{"--settings FILE"}},
		{"extra argument", []string{"run", "--settings", faulty, "x"}, 2, "", []string{"--settings FILE"}},
		{"no such file", []string{"run", "--settings", faulty + "x"}, 2, "", []string{"faulty.tomlx"}},
		{"five faults", []string{"run", "--settings", faulty}, 2, "", []string{"name", "address", "admin", "level", "colour"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			// A process that starts by mistake stops at once.
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			code := Main(ctx, c.args, Options{Out: &out, Err: &errs, Clock: clock.System{}, Random: strings.NewReader("12345678")})
			is.Equal(code, c.code)
			is.True(strings.Contains(out.String(), c.out))
			is.Equal(out.Len() > 0, c.out != "")
			for _, part := range c.err {
				is.True(strings.Contains(errs.String(), part)) // the message names the error
			}
			is.Equal(errs.Len() > 0, c.err != nil)
		})
	}
}

// Guards against a VM that reports itself healthy without contact to control, and against a planned
// stop that depends on control.
func TestStopWithoutControl(t *testing.T) {
	is := is.New(t)
	var ports [3]string
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ports[i] = l.Addr().String()
		if i < 2 {
			is.NoErr(l.Close())
			continue
		}
		defer l.Close() // a control member that accepts connections and never replies
	}
	file := filepath.Join(t.TempDir(), "entry.toml")
	text := fmt.Sprintf("name = \"e1\"\naddress = %q\nadmin = %q\ndomain = \"d1\"\ncontrol = [%q]\nlifetime = \"100ms\"\ntimeout = \"5s\"\n",
		ports[0], ports[1], ports[2])
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exitCode := make(chan int, 1)
	var out, errs bytes.Buffer
	go func() {
		exitCode <- Main(ctx, []string{"run", "--settings", file}, Options{Out: &out, Err: &errs, Clock: clock.System{}, Random: strings.NewReader("12345678")})
	}()
	status := 0
	for deadline := time.Now().Add(5 * time.Second); status == 0 && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if response, err := http.Get("http://" + ports[1] + "/health"); err == nil {
			status = response.StatusCode
			is.NoErr(response.Body.Close())
		}
	}
	is.Equal(status, http.StatusServiceUnavailable)
	idle, err := net.Dial("tcp", ports[0])
	is.NoErr(err)
	defer idle.Close()
	began := time.Now()
	cancel()
	select {
	case code := <-exitCode:
		is.Equal(code, 0)
		// 1.1 s until lookups expire, 0.5 s for the idle connection and 1 s for control.
		is.True(time.Since(began) < 6*time.Second)
	case <-time.After(20 * time.Second):
		t.Fatal("the stop did not end")
	}
}

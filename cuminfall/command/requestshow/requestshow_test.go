package requestshow

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/fleet/fault"
)

const entry1Log = `entry1: {"time":"2026-01-01T00:00:02Z","vm":"entry1","event":"failed","request":"r1","status":502}
not json r1
{"time":"2026-01-01T00:00:01Z","vm":"entry1","event":"attempt","request":"r1","upstream":"u"}
`
const entry2Log = `{"time":"2026-01-01T00:00:00Z","vm":"entry2","event":"refused","request":"r1","why":"busy"}
{"time":"2026-01-01T00:00:00Z","vm":"entry2","event":"answered","request":"r2"}
`

// Guards against omitting the lines of one of the given log files, and against lines that are not in order of time.
func TestMergesLogsInTimeOrder(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	var names []string
	for name, text := range map[string]string{"a": entry1Log, "b": entry2Log} {
		names = append(names, filepath.Join(folder, name))
		is.NoErr(os.WriteFile(names[len(names)-1], []byte(text), 0o600))
	}
	var out bytes.Buffer
	c := New(&command.Factory{Streams: command.Streams{In: strings.NewReader(""), Out: &out}})
	is.NoErr(c.Execute(context.Background(), &out, []string{"r1", "--logs", strings.Join(names, ",")}))
	got := out.String()
	is.True(strings.Index(got, "refused") < strings.Index(got, "attempt") && strings.Index(got, "attempt") < strings.Index(got, "failed"))
	is.True(!strings.Contains(got, "r2"))
}

// Guards against ignoring standard input when no file is given, and against success when no line matches.
func TestReadsStandardInputAndReportsUnknownRequest(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := New(&command.Factory{Streams: command.Streams{In: strings.NewReader(entry1Log), Out: &out}})
	is.NoErr(c.Execute(context.Background(), &out, []string{"r1", "--json"}))
	is.True(strings.Contains(out.String(), `"status": "502"`))
	c = New(&command.Factory{Streams: command.Streams{In: strings.NewReader(entry1Log), Out: &out}})
	is.Equal(fault.Of(c.Execute(context.Background(), &out, []string{"r3"})).Code, fault.NotFound)
}

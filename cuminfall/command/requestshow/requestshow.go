package requestshow

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"cuminfall.example/cuminfall/command"
	"cuminfall.example/cuminfall/table"
	"cuminfall.example/fleet/fault"
)

// maxLineBytes is the maximum length of a log line; a longer line makes reading fail.
const maxLineBytes = 1 << 20

// Options are the flags and dependencies of "request show".
type Options struct {
	Factory *command.Factory
	Logs    string // log files, separated by commas; empty for standard input
	JSON    bool
}

// New returns the "request show" command.
func New(f *command.Factory) *command.Command {
	o := &Options{Factory: f}
	fs := flag.NewFlagSet("request show", flag.ContinueOnError)
	fs.StringVar(&o.Logs, "logs", "", "log `files`, separated by commas (default standard input)")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return &command.Command{
		Noun: "request", Verb: "show", Short: "Show the log lines of one request", Args: "ID", Flags: fs,
		Example: "cuminfall request show 74bbaaa835cea78b --logs entry1.log,entry2.log",
		Run:     o.run,
	}
}

// logLine is one log line of the request. Fields holds all other fields of the line as text.
type logLine struct {
	Time   time.Time         `json:"time"`
	VM     string            `json:"vm"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
}

func (o *Options) run(_ context.Context, args []string) error {
	var found []logLine
	if o.Logs == "" {
		lines, err := readLines(o.Factory.In, args[0])
		if err != nil {
			return fault.Wrap(err, fault.Usage, "read log", "standard input")
		}
		found = lines
	}
	for _, name := range strings.Split(o.Logs, ",") {
		if name == "" {
			continue
		}
		lines, err := readFile(name, args[0])
		if err != nil {
			return fault.Wrap(err, fault.Usage, "read log", name)
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return fault.New(fault.NotFound, "request show", "", "no log line for request %q", args[0])
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Time.Before(found[j].Time) })
	if o.JSON {
		return table.JSON(o.Factory.Out, found)
	}
	t := table.Table{Heading: []string{"time", "vm", "event", "details"}}
	for _, l := range found {
		t.Add(l.Time.Format("15:04:05.000"), l.VM, l.Event, formatFields(l.Fields))
	}
	return t.Print(o.Factory.Out)
}

func readFile(name, id string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readLines(f, id)
}

// readLines returns the log lines of a request. It ignores lines without JSON, and text before the JSON of a line,
// such as a log collector's prefix.
func readLines(in io.Reader, id string) ([]logLine, error) {
	var found []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(id)) {
			continue
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal(text[start:], &fields) != nil {
			continue
		}
		if l := parseLine(fields); l.Fields["request"] == id {
			found = append(found, l)
		}
	}
	return found, scanner.Err()
}

func parseLine(fields map[string]json.RawMessage) logLine {
	l := logLine{Fields: map[string]string{}}
	for name, raw := range fields {
		var text string
		if json.Unmarshal(raw, &text) != nil {
			text = string(raw)
		}
		switch name {
		case "time":
			// A line without a valid time is kept and sorts first.
			l.Time, _ = time.Parse(time.RFC3339Nano, text)
		case "vm":
			l.VM = text
		case "event":
			l.Event = text
		default:
			l.Fields[name] = text
		}
	}
	return l
}

// formatFields formats the fields as "name=value", sorted by name. It omits the fields that are the same on each
// line or repeat the event.
func formatFields(fields map[string]string) string {
	var parts []string
	for name, value := range fields {
		switch name {
		case "request", "level", "msg":
		default:
			parts = append(parts, fmt.Sprintf("%s=%s", name, value))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

package root

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/cuminfall/client"
	"cuminfall.example/cuminfall/command"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

// fakeFleet keeps the document in memory and remembers change ids.
type fakeFleet struct {
	sections map[string]*rpc.Section
	applied  []*rpc.ApplyRequest
	err      error
}

func (f *fakeFleet) Apply(_ context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	if f.err != nil {
		return nil, f.err
	}
	f.applied = append(f.applied, r)
	s := f.sections[r.Section]
	if s == nil {
		s = &rpc.Section{Name: r.Section}
		f.sections[r.Section] = s
	}
	if s.Revision != r.Base {
		lost := &rpc.Change{Id: "other", Operator: "bea", Revision: s.Revision, After: s.Text}
		return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_CONFLICT, Reason: "stale base revision", Lost: lost}, nil
	}
	s.Revision++
	s.Text = r.Text
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_ACCEPTED, Revision: s.Revision}, nil
}

func (f *fakeFleet) Show(_ context.Context, r *rpc.ShowRequest) (*rpc.ShowReply, error) {
	reply := &rpc.ShowReply{}
	for name, s := range f.sections {
		if r.Section == "" || r.Section == name {
			reply.Sections = append(reply.Sections, s)
		}
	}
	return reply, f.err
}

func (f *fakeFleet) Audit(context.Context, *rpc.AuditRequest) (*rpc.AuditReply, error) {
	return &rpc.AuditReply{Changes: []*rpc.Change{{Index: 9, Operator: "anna", Section: "drains", Id: "c1"}}}, f.err
}

func (f *fakeFleet) Status(context.Context) ([]client.MemberStatus, error) {
	return []client.MemberStatus{{Address: "127.0.0.1:7101", Reply: &rpc.StatusReply{Member: "control1", Role: "leader"}}}, f.err
}

func (f *fakeFleet) Remove(context.Context, *rpc.RemoveRequest) (*rpc.RemoveReply, error) {
	return &rpc.RemoveReply{}, f.err
}

type bench struct {
	fleet    *fakeFleet
	out, err bytes.Buffer
	dir      string
}

func newBench(t *testing.T) *bench {
	b := &bench{fleet: &fakeFleet{sections: map[string]*rpc.Section{}}, dir: t.TempDir()}
	if err := os.WriteFile(filepath.Join(b.dir, "credential"), []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *bench) run(line string) int {
	b.out.Reset()
	b.err.Reset()
	env := map[string]string{
		"CUMINFALL_CONTROL":    "127.0.0.1:7101",
		"CUMINFALL_OPERATOR":   "anna",
		"CUMINFALL_CREDENTIAL": filepath.Join(b.dir, "credential"),
	}
	f := &command.Factory{
		Streams: command.Streams{In: strings.NewReader("[[drain]]\n"), Out: &b.out, Err: &b.err},
		Clock:   clock.System{},
		Connect: func(clock.Clock, []string) client.Fleet { return b.fleet },
		Getenv:  func(name string) string { return env[name] },
		Random:  strings.NewReader(strings.Repeat("0123456789abcdef", 8)),
	}
	return Run(f, strings.Fields(line))
}

// Guards against a wrong exit code or message, on which scripts depend.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name, line string
		err        error
		code       int
		out        string
	}{
		{"help", "help", nil, 0, "workspace create"},
		{"command help", "key create --help", nil, 0, "Example:"},
		{"unknown command", "key make", nil, 2, `unknown command "key make"`},
		{"unknown flag", "status --colour", nil, 2, "colour"},
		{"missing argument", "workspace create --rate 5 --burst 5", nil, 2, "takes 1 arguments, got 0"},
		{"unknown section", "document apply --section weather -", nil, 3, "unknown section"},
		{"missing key", "key withdraw k9", nil, 3, `no key "k9"`},
		{"missing drain", "drain end patching", nil, 3, `no drain "patching"`},
		{"refused", "service create a --prefix /a/", fault.New(fault.Owner, "apply change", "services", "not an owner"), 3, "not an owner"},
		{"unreachable", "document show", fault.New(fault.Unreachable, "read document", "", "no member answers"), 5, "no member answers"},
		{"audit", "audit list", nil, 0, "anna"},
		{"status", "status --json", nil, 0, `"role": "leader"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.fleet.err = tc.err
			code := b.run(tc.line)
			is.Equal(code, tc.code)
			is.True(strings.Contains(b.out.String()+b.err.String(), tc.out))
		})
	}
}

// Guards against an edit that drops what other changes put into the section.
func TestEditsKeepTheRest(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(b.run("workspace create north --rate 50 --burst 100"), 0)
	is.Equal(b.run("workspace create south --rate 20 --burst 30"), 0)
	is.Equal(b.run("key create --workspace north"), 0)
	is.True(strings.HasPrefix(b.out.String(), "ck_"))
	parts := strings.Split(strings.TrimSpace(b.out.String()), "_")
	id, secret := parts[1], parts[2]
	is.Equal(b.run("key withdraw "+id), 0)
	is.Equal(b.run("workspace set south --rate 25"), 0)

	part, err := document.Parse(document.WorkspacesSection, b.fleet.sections["workspaces"].Text)
	is.NoErr(err)
	w := part.(*document.Workspaces)
	is.Equal(len(w.Workspaces), 2)
	is.Equal(w.Workspaces[0].Burst, 100.0)
	is.True(w.Workspaces[0].Keys[0].Withdrawn)
	is.Equal(float64(w.Workspaces[1].Rate), 25.0)
	is.True(!strings.Contains(b.fleet.sections["workspaces"].Text, secret)) // only its hash may be stored
}

// Guards against a change made on an old revision overwriting a newer one.
func TestStaleBaseIsAConflict(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(b.run("drain start a --kind region --target lappi"), 0)
	code := b.run("document apply --section drains --base 0 -")
	is.Equal(code, 4)
	is.True(strings.Contains(b.err.String(), "lost to change other by bea"))
}

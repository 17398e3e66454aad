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

// fakeControlGroup keeps the sections of the document in memory. If err is set, all calls fail with it.
type fakeControlGroup struct {
	sections map[string]*rpc.Section
	applied  []*rpc.ApplyRequest
	err      error
}

func (f *fakeControlGroup) Apply(_ context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
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

func (f *fakeControlGroup) Show(_ context.Context, r *rpc.ShowRequest) (*rpc.ShowReply, error) {
	reply := &rpc.ShowReply{}
	for name, s := range f.sections {
		if r.Section == "" || r.Section == name {
			reply.Sections = append(reply.Sections, s)
		}
	}
	return reply, f.err
}

func (f *fakeControlGroup) Audit(context.Context, *rpc.AuditRequest) (*rpc.AuditReply, error) {
	return &rpc.AuditReply{Changes: []*rpc.Change{{Index: 9, Operator: "anna", Section: "drains", Id: "c1"}}}, f.err
}

func (f *fakeControlGroup) Status(context.Context) ([]client.MemberStatus, error) {
	return []client.MemberStatus{{Address: "127.0.0.1:7101", Reply: &rpc.StatusReply{Member: "control1", Role: "leader"}}}, f.err
}

func (f *fakeControlGroup) Remove(context.Context, *rpc.RemoveRequest) (*rpc.RemoveReply, error) {
	return &rpc.RemoveReply{}, f.err
}

// testEnv runs command lines against a fake control group and captures their output.
type testEnv struct {
	group    *fakeControlGroup
	out, err bytes.Buffer
	dir      string
}

func newTestEnv(t *testing.T) *testEnv {
	b := &testEnv{group: &fakeControlGroup{sections: map[string]*rpc.Section{}}, dir: t.TempDir()}
	if err := os.WriteFile(filepath.Join(b.dir, "credential"), []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *testEnv) run(line string) int {
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
		Connect: func(clock.Clock, []string) client.ControlGroup { return b.group },
		Getenv:  func(name string) string { return env[name] },
		Random:  strings.NewReader(strings.Repeat("0123456789abcdef", 8)),
	}
	return Run(f, strings.Fields(line))
}

// Guards against a changed exit code or message, on which operators' scripts depend.
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
		{"refused", "service create a --prefix /a/", fault.New(fault.NotOwner, "apply change", "services", "not an owner"), 3, "not an owner"},
		{"unreachable", "document show", fault.New(fault.Unreachable, "read document", "", "no member answers"), 5, "no member answers"},
		{"audit", "audit list", nil, 0, "anna"},
		{"status", "status --json", nil, 0, `"role": "leader"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestEnv(t)
			b.group.err = tc.err
			code := b.run(tc.line)
			is.Equal(code, tc.code)
			is.True(strings.Contains(b.out.String()+b.err.String(), tc.out))
		})
	}
}

// Guards against an edit that drops other items of the section, and against storing a key's secret instead of its hash.
func TestEditKeepsOtherItems(t *testing.T) {
	is := is.New(t)
	b := newTestEnv(t)
	is.Equal(b.run("workspace create north --rate 50 --burst 100"), 0)
	is.Equal(b.run("workspace create south --rate 20 --burst 30"), 0)
	is.Equal(b.run("key create --workspace north"), 0)
	is.True(strings.HasPrefix(b.out.String(), "ck_"))
	parts := strings.Split(strings.TrimSpace(b.out.String()), "_")
	id, secret := parts[1], parts[2]
	is.Equal(b.run("key withdraw "+id), 0)
	is.Equal(b.run("workspace set south --rate 25"), 0)

	content, err := document.Parse(document.WorkspacesSection, b.group.sections["workspaces"].Text)
	is.NoErr(err)
	w := content.(*document.Workspaces)
	is.Equal(len(w.Workspaces), 2)
	is.Equal(w.Workspaces[0].Burst, 100.0)
	is.True(w.Workspaces[0].Keys[0].Withdrawn)
	is.Equal(float64(w.Workspaces[1].Rate), 25.0)
	is.True(!strings.Contains(b.group.sections["workspaces"].Text, secret)) // only its hash may be stored
}

// Guards against a change on an old base revision overwriting a newer one without an error.
func TestStaleBaseIsAConflict(t *testing.T) {
	is := is.New(t)
	b := newTestEnv(t)
	is.Equal(b.run("drain start a --kind region --target lappi"), 0)
	code := b.run("document apply --section drains --base 0 -")
	is.Equal(code, 4)
	is.True(strings.Contains(b.err.String(), "lost to change other by bea"))
}

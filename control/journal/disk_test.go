package journal

import (
	"sort"

	"github.com/pkg/errors"
)

// memory is a Disk that keeps synced and unsynced contents apart and fails on demand.
type memory struct {
	files map[string]*content // present names
	safe  map[string]*content // names that survive a crash
	room  int                 // bytes left before writes fail, if limit
	limit bool
	short bool  // a write without room writes a part and reports no error
	sync  error // of the next syncs
}

type content struct {
	data   []byte
	synced int
}

func newMemory() *memory {
	return &memory{files: map[string]*content{}, safe: map[string]*content{}}
}

// crash drops what is not synced, but for a torn first part of what was written.
func (m *memory) crash(torn int) *memory {
	after := newMemory()
	for name, c := range m.safe {
		keep := min(len(c.data), c.synced+torn)
		kept := &content{append([]byte(nil), c.data[:keep]...), keep}
		after.files[name], after.safe[name] = kept, kept
	}
	return after
}

func (m *memory) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (m *memory) Read(name string) ([]byte, error) { return m.files[name].data, nil }

func (m *memory) Create(name string) (File, error) {
	m.files[name] = &content{}
	return &memoryFile{m, m.files[name]}, nil
}

func (m *memory) Truncate(name string, size int64) error {
	c := m.files[name]
	c.data, c.synced = c.data[:size], int(size)
	return nil
}

func (m *memory) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memory) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memory) Sync() error {
	if m.sync != nil {
		return m.sync
	}
	m.safe = map[string]*content{}
	for name, c := range m.files {
		m.safe[name] = c
	}
	return nil
}

type memoryFile struct {
	m *memory
	c *content
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if f.m.limit && f.m.room < len(p) {
		f.c.data = append(f.c.data, p[:f.m.room]...)
		if f.m.short {
			return f.m.room, nil
		}
		return f.m.room, errors.New("no space left on device")
	}
	f.m.room -= len(p)
	f.c.data = append(f.c.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if f.m.sync == nil {
		f.c.synced = len(f.c.data)
	}
	return f.m.sync
}

func (f *memoryFile) Close() error { return nil }

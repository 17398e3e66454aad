package journal

import (
	"sort"

	"github.com/pkg/errors"
)

// memoryDisk is an in-memory Disk that tracks which contents are synced and can be set to fail writes
// and syncs.
type memoryDisk struct {
	files      map[string]*fileContent // files that currently exist
	durable    map[string]*fileContent // files that survive a crash
	freeBytes  int                     // bytes that can still be written if limited
	limited    bool
	shortWrite bool  // a write beyond freeBytes is cut short without an error
	syncErr    error // returned by Sync if not nil
	noSpace    error // returned by a write beyond freeBytes if not nil
	givesBack  bool  // a file that is replaced gives back its space
}

type fileContent struct {
	data       []byte
	syncedSize int
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{files: map[string]*fileContent{}, durable: map[string]*fileContent{}}
}

// crash returns the disk as it is after a crash: of the unsynced bytes of each file, only the first
// tornSize survive.
func (m *memoryDisk) crash(tornSize int) *memoryDisk {
	restarted := newMemoryDisk()
	for name, c := range m.durable {
		keptSize := min(len(c.data), c.syncedSize+tornSize)
		kept := &fileContent{append([]byte(nil), c.data[:keptSize]...), keptSize}
		restarted.files[name], restarted.durable[name] = kept, kept
	}
	return restarted
}

func (m *memoryDisk) List() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (m *memoryDisk) Read(name string) ([]byte, error) { return m.files[name].data, nil }

func (m *memoryDisk) ReadAt(name string, offset int64, size int) ([]byte, error) {
	return m.files[name].data[offset : offset+int64(size)], nil
}

func (m *memoryDisk) Create(name string) (File, error) {
	if old := m.files[name]; old != nil && m.givesBack {
		m.freeBytes += len(old.data)
	}
	m.files[name] = &fileContent{}
	return &memoryFile{m, m.files[name]}, nil
}

func (m *memoryDisk) Truncate(name string, size int64) error {
	c := m.files[name]
	c.data, c.syncedSize = c.data[:size], int(size)
	return nil
}

func (m *memoryDisk) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryDisk) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memoryDisk) Sync() error {
	if m.syncErr != nil {
		return m.syncErr
	}
	m.durable = map[string]*fileContent{}
	for name, c := range m.files {
		m.durable[name] = c
	}
	return nil
}

type memoryFile struct {
	m *memoryDisk
	c *fileContent
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if f.m.limited && f.m.freeBytes < len(p) {
		f.c.data = append(f.c.data, p[:f.m.freeBytes]...)
		if f.m.shortWrite {
			return f.m.freeBytes, nil
		}
		written := f.m.freeBytes
		if f.m.givesBack {
			f.m.freeBytes = 0
		}
		if f.m.noSpace != nil {
			return written, errors.WithStack(f.m.noSpace)
		}
		return written, errors.New("no space left on device")
	}
	f.m.freeBytes -= len(p)
	f.c.data = append(f.c.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if f.m.syncErr == nil {
		f.c.syncedSize = len(f.c.data)
	}
	return f.m.syncErr
}

func (f *memoryFile) Close() error { return nil }

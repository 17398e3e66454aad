package journal

import (
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/pkg/errors"
)

// Disk is a directory of files without subdirectories.
type Disk interface {
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// ReadAt returns size bytes of a file from offset on.
	ReadAt(name string, offset int64, size int) ([]byte, error)
	// Create creates an empty file for writing and replaces any file of that name.
	Create(name string) (File, error)
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// Rename renames a file and replaces any file of the new name.
	Rename(from, to string) error
	// Remove deletes a file if it exists.
	Remove(name string) error
	// Sync makes earlier creations, renames and removals durable.
	Sync() error
}

// File is a file that is open for appending.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is a Disk in a directory of the file system.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder creates the directory if needed and locks it. It returns an error if another process
// holds the lock.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.WithStack(err)
	}
	lock, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Wrapf(err, "data folder %s is used by another process", path)
	}
	return &Folder{path, lock}, nil
}

// Close releases the lock on the directory.
func (f *Folder) Close() error { return errors.WithStack(f.lock.Close()) }

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

// List implements Disk.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(f.filePath(name))
	return data, errors.WithStack(err)
}

// ReadAt implements Disk.
func (f *Folder) ReadAt(name string, offset int64, size int) ([]byte, error) {
	file, err := os.Open(f.filePath(name))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	data := make([]byte, size)
	_, err = file.ReadAt(data, offset)
	return data, errors.WithStack(err)
}

// Create implements Disk.
func (f *Folder) Create(name string) (File, error) {
	file, err := os.OpenFile(f.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return file, nil
}

// Truncate implements Disk.
func (f *Folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.filePath(name), os.O_WRONLY, 0)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(file.Sync())
}

// Rename implements Disk.
func (f *Folder) Rename(from, to string) error {
	return errors.WithStack(os.Rename(f.filePath(from), f.filePath(to)))
}

// Remove implements Disk.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(f.filePath(name)); err != nil && !os.IsNotExist(err) {
		return errors.WithStack(err)
	}
	return nil
}

// Sync implements Disk.
func (f *Folder) Sync() error { return errors.WithStack(f.lock.Sync()) }

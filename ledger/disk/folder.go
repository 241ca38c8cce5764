package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// ErrFolderInUse means that the data folder is already open, usually in another
// process.
var ErrFolderInUse = errors.New("the data folder is in use by another process")

const (
	lockName = "lock"
	// filePermissions allow only the owner to read the ledger.
	filePermissions = 0o600
)

// Folder is a data folder in the file system. It implements
// hornbeamwell.DataFolder.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder opens an existing folder and locks it against other processes.
func OpenFolder(path string) (*Folder, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrFolderInUse
		}
		return nil, fmt.Errorf("lock data folder %s: %w", path, err)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close unlocks the folder.
func (f *Folder) Close() error {
	if err := f.lock.Close(); err != nil {
		return fmt.Errorf("unlock data folder: %w", err)
	}
	return nil
}

// List returns the names of the files in order, without the lock file. It
// removes files whose names start with a dot, because an interrupted Replace
// leaves such files behind.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, e := range entries {
		switch {
		case e.IsDir() || e.Name() == lockName:
		case strings.HasPrefix(e.Name(), "."):
			if err := f.Remove(e.Name()); err != nil {
				return nil, err
			}
		default:
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read returns the content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(f.path, name))
	if err != nil {
		return nil, fmt.Errorf("read ledger file: %w", err)
	}
	return content, nil
}

// Replace creates or replaces a file atomically and syncs file and folder.
func (f *Folder) Replace(name string, content []byte) error {
	if err := renameio.WriteFile(filepath.Join(f.path, name), content, filePermissions, renameio.WithTempDir(f.path)); err != nil {
		return fmt.Errorf("replace ledger file: %w", err)
	}
	return f.syncFolder()
}

// OpenAppend opens a file for appending.
func (f *Folder) OpenAppend(name string) (hornbeamwell.AppendFile, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return nil, fmt.Errorf("open ledger file: %w", err)
	}
	return file, nil
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return fmt.Errorf("remove ledger file: %w", err)
	}
	return nil
}

func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

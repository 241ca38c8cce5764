package soak

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// ordersName is the file that holds what the storage is told to do.
	ordersName = "orders"
	// syncedSuffix and removedPrefix name what a loss of power needs to know,
	// nextSuffix a note that is being written.
	syncedSuffix  = ".synced"
	nextSuffix    = ".next"
	removedPrefix = "removed."
	orderFull     = "full"
)

// FaultyFolder is the data folder of a process that is told, by files in another
// folder, to be full or slow. It notes there what was synced, so that a loss of
// power can take the rest.
type FaultyFolder struct {
	hornbeamwell.DataFolder
	path, notes string
}

// NewFaultyFolder puts a storage between a data folder and its user.
func NewFaultyFolder(path, notes string, folder hornbeamwell.DataFolder) *FaultyFolder {
	return &FaultyFolder{DataFolder: folder, path: path, notes: notes}
}

// obey waits as long as a slow storage takes, and fails where it is full.
func (s *FaultyFolder) obey() error {
	order, err := os.ReadFile(filepath.Join(s.notes, ordersName))
	switch {
	case errors.Is(err, fs.ErrNotExist), err == nil && len(order) == 0:
		// Without orders the storage is sound.
		return nil
	case err != nil:
		return fmt.Errorf("read the orders of the storage: %w", err)
	}
	if string(order) == orderFull {
		return fmt.Errorf("write to the data folder: %w", syscall.ENOSPC)
	}
	delay, err := time.ParseDuration(string(order))
	if err != nil {
		return fmt.Errorf("read the orders of the storage: %w", err)
	}
	time.Sleep(delay)
	return nil
}

// Replace implements hornbeamwell.DataFolder.
func (s *FaultyFolder) Replace(name string, content []byte) error {
	if err := s.obey(); err != nil {
		return err
	}
	if err := s.DataFolder.Replace(name, content); err != nil {
		return err
	}
	// Replace syncs the folder, and with it what was removed before.
	removed, err := filepath.Glob(filepath.Join(s.notes, removedPrefix+"*"))
	if err != nil {
		return fmt.Errorf("list removed files: %w", err)
	}
	for _, file := range removed {
		if err := os.Remove(file); err != nil {
			return fmt.Errorf("forget a removed file: %w", err)
		}
	}
	return nil
}

// Remove implements hornbeamwell.DataFolder. The file comes back at a loss of
// power until the folder was synced.
func (s *FaultyFolder) Remove(name string) error {
	if err := os.Link(filepath.Join(s.path, name), filepath.Join(s.notes, removedPrefix+name)); err != nil {
		return fmt.Errorf("keep a removed file: %w", err)
	}
	return s.DataFolder.Remove(name)
}

// Append implements hornbeamwell.DataFolder.
func (s *FaultyFolder) Append(name string) (hornbeamwell.AppendFile, error) {
	file, err := s.DataFolder.Append(name)
	if err != nil {
		return nil, err
	}
	opened := &storageFile{AppendFile: file, storage: s, name: name}
	return opened, opened.noteSynced()
}

// storageFile notes how much of a file was synced.
type storageFile struct {
	hornbeamwell.AppendFile
	storage *FaultyFolder
	name    string
}

// Write implements io.Writer.
func (f *storageFile) Write(data []byte) (int, error) {
	if err := f.storage.obey(); err != nil {
		return 0, err
	}
	return f.AppendFile.Write(data)
}

// Sync implements hornbeamwell.AppendFile.
func (f *storageFile) Sync() error {
	if err := f.storage.obey(); err != nil {
		return err
	}
	size, err := fileSize(filepath.Join(f.storage.path, f.name))
	if err != nil {
		return err
	}
	if err := f.AppendFile.Sync(); err != nil {
		return err
	}
	return f.note(size)
}

func (f *storageFile) noteSynced() error {
	size, err := fileSize(filepath.Join(f.storage.path, f.name))
	if err != nil {
		return err
	}
	return f.note(size)
}

func (f *storageFile) note(size int64) error {
	path := filepath.Join(f.storage.notes, f.name+syncedSuffix)
	// The process may be killed at any point; the note is the old or the new one.
	next := path + nextSuffix
	if err := os.WriteFile(next, []byte(strconv.FormatInt(size, 10)), 0o600); err != nil {
		return fmt.Errorf("note what was synced: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("note what was synced: %w", err)
	}
	return nil
}

func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, fmt.Errorf("measure a file: %w", err)
	}
	return info.Size(), nil
}

// order tells the storage of the process what to do, an empty text to be sound.
func (p *Process) order(text string) error {
	if err := os.WriteFile(filepath.Join(p.storageFaults(), ordersName), []byte(text), 0o600); err != nil {
		return fmt.Errorf("order the storage of %s: %w", p.ID, err)
	}
	return nil
}

// losePower takes from the data folder of a process that does not run what was
// not synced: a random end of each file is lost, what is left of it may be
// garbage, and removed files come back.
func (p *Process) losePower(random *rand.Rand) error {
	notes, err := os.ReadDir(p.storageFaults())
	if err != nil {
		return fmt.Errorf("list the notes of %s: %w", p.ID, err)
	}
	for _, note := range notes {
		path := filepath.Join(p.storageFaults(), note.Name())
		if name, isRemoved := strings.CutPrefix(note.Name(), removedPrefix); isRemoved && random.IntN(2) == 0 {
			if err := os.Rename(path, filepath.Join(p.DataFolder, name)); err != nil {
				return fmt.Errorf("bring a removed file back: %w", err)
			}
		}
	}
	for _, note := range notes {
		if name, isSynced := strings.CutSuffix(note.Name(), syncedSuffix); isSynced {
			if err := tear(filepath.Join(p.DataFolder, name), filepath.Join(p.storageFaults(), note.Name()), random); err != nil {
				return err
			}
		}
	}
	return nil
}

// tear cuts a file somewhere behind what was synced.
func tear(path, notePath string, random *rand.Rand) error {
	note, err := os.ReadFile(notePath)
	if err != nil {
		return fmt.Errorf("read what was synced: %w", err)
	}
	synced, err := strconv.ParseInt(string(note), 10, 64)
	if err != nil {
		return fmt.Errorf("read what was synced: %w", err)
	}
	size, err := fileSize(path)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}
	if size <= synced {
		return nil
	}
	kept := synced + random.Int64N(size-synced+1)
	if err := os.Truncate(path, kept); err != nil {
		return fmt.Errorf("tear a file: %w", err)
	}
	if kept == synced || random.IntN(2) == 0 {
		return nil
	}
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("spoil a file: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteAt([]byte{byte(random.Uint32())}, synced+random.Int64N(kept-synced)); err != nil {
		return fmt.Errorf("spoil a file: %w", err)
	}
	return nil
}

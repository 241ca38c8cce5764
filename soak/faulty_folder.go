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
	// faultFileName is the file that holds the fault to inject: faultFull, which
	// fails writes with ENOSPC, or a delay.
	faultFileName = "orders"
	// syncedSuffix and removedPrefix mark the records of synced sizes and of
	// removed files, nextSuffix a record that is being written.
	syncedSuffix  = ".synced"
	nextSuffix    = ".next"
	removedPrefix = "removed."
	faultFull     = "full"
)

// FaultyFolder is a data folder that simulates a full or slow disk. A file in a
// second folder, the fault folder, sets the fault. The FaultyFolder records there
// what was synced, so that a simulated power loss can discard the rest.
type FaultyFolder struct {
	hornbeamwell.DataFolder
	// path is the path of the data folder, faultFolder that of the folder with the
	// fault file and the records.
	path, faultFolder string
}

// NewFaultyFolder wraps the data folder at the path. faultFolder is the path of
// the folder with the fault file and the records.
func NewFaultyFolder(path, faultFolder string, folder hornbeamwell.DataFolder) *FaultyFolder {
	return &FaultyFolder{DataFolder: folder, path: path, faultFolder: faultFolder}
}

// injectFault waits for the delay of a slow disk, and fails if the disk is
// full.
func (f *FaultyFolder) injectFault() error {
	fault, err := os.ReadFile(filepath.Join(f.faultFolder, faultFileName))
	switch {
	case errors.Is(err, fs.ErrNotExist), err == nil && len(fault) == 0:
		// There is no fault to inject.
		return nil
	case err != nil:
		return fmt.Errorf("read storage fault: %w", err)
	}
	if string(fault) == faultFull {
		return fmt.Errorf("write to data folder: %w", syscall.ENOSPC)
	}
	delay, err := time.ParseDuration(string(fault))
	if err != nil {
		return fmt.Errorf("parse storage fault: %w", err)
	}
	time.Sleep(delay)
	return nil
}

// Replace implements hornbeamwell.DataFolder.
func (f *FaultyFolder) Replace(name string, content []byte) error {
	if err := f.injectFault(); err != nil {
		return err
	}
	if err := f.DataFolder.Replace(name, content); err != nil {
		return err
	}
	// Replace syncs the folder, which makes the earlier removals durable.
	records, err := filepath.Glob(filepath.Join(f.faultFolder, removedPrefix+"*"))
	if err != nil {
		return fmt.Errorf("list records of removed files: %w", err)
	}
	for _, file := range records {
		if err := os.Remove(file); err != nil {
			return fmt.Errorf("delete record of a removed file: %w", err)
		}
	}
	return nil
}

// Remove implements hornbeamwell.DataFolder. A power loss may restore the file
// until the folder has been synced.
func (f *FaultyFolder) Remove(name string) error {
	if err := os.Link(filepath.Join(f.path, name), filepath.Join(f.faultFolder, removedPrefix+name)); err != nil {
		return fmt.Errorf("record removed file: %w", err)
	}
	return f.DataFolder.Remove(name)
}

// OpenAppend implements hornbeamwell.DataFolder.
func (f *FaultyFolder) OpenAppend(name string) (hornbeamwell.AppendFile, error) {
	file, err := f.DataFolder.OpenAppend(name)
	if err != nil {
		return nil, err
	}
	opened := &faultyFile{AppendFile: file, folder: f, name: name}
	return opened, opened.recordCurrentSize()
}

// faultyFile is a file of a FaultyFolder. It injects the fault and records how much
// was synced.
type faultyFile struct {
	hornbeamwell.AppendFile
	folder *FaultyFolder
	name   string
}

// Write implements io.Writer.
func (f *faultyFile) Write(data []byte) (int, error) {
	if err := f.folder.injectFault(); err != nil {
		return 0, err
	}
	return f.AppendFile.Write(data)
}

// Sync implements hornbeamwell.AppendFile.
func (f *faultyFile) Sync() error {
	if err := f.folder.injectFault(); err != nil {
		return err
	}
	size, err := fileSize(filepath.Join(f.folder.path, f.name))
	if err != nil {
		return err
	}
	if err := f.AppendFile.Sync(); err != nil {
		return err
	}
	return f.recordSynced(size)
}

func (f *faultyFile) recordCurrentSize() error {
	size, err := fileSize(filepath.Join(f.folder.path, f.name))
	if err != nil {
		return err
	}
	return f.recordSynced(size)
}

func (f *faultyFile) recordSynced(size int64) error {
	path := filepath.Join(f.folder.faultFolder, f.name+syncedSuffix)
	// The process may be killed at any point. The rename leaves either the old or
	// the new record.
	next := path + nextSuffix
	if err := os.WriteFile(next, []byte(strconv.FormatInt(size, 10)), 0o600); err != nil {
		return fmt.Errorf("record synced size: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("record synced size: %w", err)
	}
	return nil
}

func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, fmt.Errorf("get file size: %w", err)
	}
	return info.Size(), nil
}

// setStorageFault sets the fault of the process's storage, empty for none.
func (p *Process) setStorageFault(fault string) error {
	if err := os.WriteFile(filepath.Join(p.faultFolder(), faultFileName), []byte(fault), 0o600); err != nil {
		return fmt.Errorf("set storage fault of %s: %w", p.ID, err)
	}
	return nil
}

// losePower simulates a power loss in the data folder of a process that is not
// running. Each file is truncated at a random point after its synced part, a byte
// of the remainder may be corrupted, and files whose removal was not synced may be
// restored.
func (p *Process) losePower(random *rand.Rand) error {
	records, err := os.ReadDir(p.faultFolder())
	if err != nil {
		return fmt.Errorf("list records of %s: %w", p.ID, err)
	}
	for _, record := range records {
		path := filepath.Join(p.faultFolder(), record.Name())
		if name, isRemoved := strings.CutPrefix(record.Name(), removedPrefix); isRemoved && random.IntN(2) == 0 {
			if err := os.Rename(path, filepath.Join(p.DataFolder, name)); err != nil {
				return fmt.Errorf("restore removed file: %w", err)
			}
		}
	}
	for _, record := range records {
		if name, isSynced := strings.CutSuffix(record.Name(), syncedSuffix); isSynced {
			if err := tear(filepath.Join(p.DataFolder, name), filepath.Join(p.faultFolder(), record.Name()), random); err != nil {
				return err
			}
		}
	}
	return nil
}

// tear truncates a file at a random point after its synced part, and may corrupt
// a byte of the remainder.
func tear(path, recordPath string, random *rand.Rand) error {
	record, err := os.ReadFile(recordPath)
	if err != nil {
		return fmt.Errorf("read synced size: %w", err)
	}
	synced, err := strconv.ParseInt(string(record), 10, 64)
	if err != nil {
		return fmt.Errorf("parse synced size: %w", err)
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
		return fmt.Errorf("truncate file: %w", err)
	}
	if kept == synced || random.IntN(2) == 0 {
		return nil
	}
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("corrupt file: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteAt([]byte{byte(random.Uint32())}, synced+random.Int64N(kept-synced)); err != nil {
		return fmt.Errorf("corrupt file: %w", err)
	}
	return nil
}

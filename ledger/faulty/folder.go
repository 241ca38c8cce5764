// Package faulty provides a data folder in memory for tests. It loses,
// truncates and corrupts bytes that were not synced before a crash, and injects
// storage faults.
package faulty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// ErrCrashed is returned by a file that was opened before a crash.
var ErrCrashed = errors.New("file opened before a crash")

// ErrInjected is returned by an injected fault.
var ErrInjected = errors.New("injected fault")

// Folder implements hornbeamwell.DataFolder in memory. Only SetFull may be
// called concurrently.
type Folder struct {
	files map[string]*fileContent
	// removed holds files whose removal is not durable.
	removed map[string]*fileContent
	// generation counts crashes. Files opened in an earlier generation fail.
	generation int
	// syncsUntilFailure is the number of syncs that succeed before one fails,
	// negative for no failure.
	syncsUntilFailure int
	// isFull is true while the folder has no free space.
	isFull atomic.Bool
}

// fileContent is the content of a file.
type fileContent struct {
	bytes []byte
	// synced is the number of bytes, from the first on, that survive a crash.
	synced int
}

// NewFolder returns an empty folder.
func NewFolder() *Folder {
	return &Folder{files: map[string]*fileContent{}, removed: map[string]*fileContent{}, syncsUntilFailure: -1}
}

// List implements hornbeamwell.DataFolder.
func (f *Folder) List() ([]string, error) {
	names := make([]string, 0, len(f.files))
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Read implements hornbeamwell.DataFolder.
func (f *Folder) Read(name string) ([]byte, error) {
	c, ok := f.files[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, hornbeamwell.ErrNotFound)
	}
	return slices.Clone(c.bytes), nil
}

// SetFull sets whether the folder is full. A full folder appends half of what
// is written and replaces no file.
func (f *Folder) SetFull(isFull bool) { f.isFull.Store(isFull) }

// Replace implements hornbeamwell.DataFolder.
func (f *Folder) Replace(name string, bytes []byte) error {
	if f.isFull.Load() || f.syncFails() {
		return fmt.Errorf("replace %s: %w", name, ErrInjected)
	}
	f.files[name] = &fileContent{bytes: slices.Clone(bytes), synced: len(bytes)}
	f.removed = map[string]*fileContent{}
	return nil
}

// OpenAppend implements hornbeamwell.DataFolder.
func (f *Folder) OpenAppend(name string) (hornbeamwell.AppendFile, error) {
	c, ok := f.files[name]
	if !ok {
		return nil, fmt.Errorf("open %s: %w", name, hornbeamwell.ErrNotFound)
	}
	return &file{folder: f, content: c, generation: f.generation}, nil
}

// Remove implements hornbeamwell.DataFolder.
func (f *Folder) Remove(name string) error {
	c, ok := f.files[name]
	if !ok {
		return fmt.Errorf("remove %s: %w", name, hornbeamwell.ErrNotFound)
	}
	f.removed[name] = c
	delete(f.files, name)
	return nil
}

// Crash loses, truncates or corrupts the bytes that were not synced, and may
// restore files whose removal was not synced.
func (f *Folder) Crash(random *rand.Rand) {
	f.generation++
	f.syncsUntilFailure = -1
	for _, name := range sortedNames(f.removed) {
		if random.IntN(2) == 0 {
			f.files[name] = f.removed[name]
		}
	}
	f.removed = map[string]*fileContent{}
	for _, name := range sortedNames(f.files) {
		f.files[name] = f.files[name].afterCrash(random)
	}
}

// Corrupt inverts one byte of a file.
func (f *Folder) Corrupt(name string, offset int) {
	f.files[name].bytes[offset] ^= 0xff
}

// Truncate truncates a file, whether or not the end was synced.
func (f *Folder) Truncate(name string, size int) {
	f.files[name].bytes = f.files[name].bytes[:size]
}

// FailSyncAfter lets a number of syncs succeed and makes the next one fail.
func (f *Folder) FailSyncAfter(after int) { f.syncsUntilFailure = after }

func (f *Folder) syncFails() bool {
	if f.syncsUntilFailure < 0 {
		return false
	}
	f.syncsUntilFailure--
	return f.syncsUntilFailure < 0
}

// afterCrash returns the content after a crash: the synced bytes and a part of
// the others, which may be damaged.
func (c *fileContent) afterCrash(random *rand.Rand) *fileContent {
	kept := c.synced + random.IntN(len(c.bytes)-c.synced+1)
	bytes := slices.Clone(c.bytes[:kept])
	if random.IntN(2) == 0 {
		return &fileContent{bytes: bytes, synced: len(bytes)}
	}
	for i := c.synced; i < len(bytes); i++ {
		if random.IntN(64) == 0 {
			bytes[i] = byte(random.Uint32())
		}
	}
	return &fileContent{bytes: bytes, synced: len(bytes)}
}

func sortedNames(files map[string]*fileContent) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// file implements hornbeamwell.AppendFile.
type file struct {
	folder     *Folder
	content    *fileContent
	generation int
}

// Write implements io.Writer.
func (f *file) Write(bytes []byte) (int, error) {
	if f.generation != f.folder.generation {
		return 0, ErrCrashed
	}
	if f.folder.isFull.Load() {
		fits := len(bytes) / 2
		f.content.bytes = append(f.content.bytes, bytes[:fits]...)
		return fits, ErrInjected
	}
	f.content.bytes = append(f.content.bytes, bytes...)
	return len(bytes), nil
}

// Sync implements hornbeamwell.AppendFile.
func (f *file) Sync() error {
	if f.generation != f.folder.generation {
		return ErrCrashed
	}
	if f.folder.syncFails() {
		return ErrInjected
	}
	f.content.synced = len(f.content.bytes)
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }

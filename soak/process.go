package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout bounds a graceful stop. The program's own bound is 30 s; the rest
// is for a machine with more processes than processors.
const stopTimeout = 45 * time.Second

// ErrStillRunning means that a process did not end in time.
var ErrStillRunning = errors.New("the process did not end")

// Program is the command line that runs hornbeamwell.
type Program struct {
	Path string
	// Environment is added to that of this process.
	Environment []string
}

// Process is one process of the program. A process that ends without having
// been asked to is kept as a failure.
type Process struct {
	ID, Zone string
	// Callers, Announce and Operator are the addresses that it listens on.
	Callers, Announce, Operator netip.AddrPort
	// DataFolder is empty but for a control instance.
	DataFolder string
	// Settings is the path of the settings file.
	Settings string
	// Relay stands before the address that other processes use. It is nil
	// where they connect directly.
	Relay *Relay
	// TimeOfDay is what the process's time of day is ahead by.
	TimeOfDay time.Duration

	program Program
	logPath string

	mu        sync.Mutex
	isStarted bool
	// command is nil while the process does not run.
	command *exec.Cmd
	ended   chan struct{}
	// incarnation counts the starts.
	incarnation int
	// failure says how the process ended by itself, empty if it did not.
	failure string
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	arguments := []string{"serve", "--settings", p.Settings}
	if !p.isStarted {
		arguments = append(arguments, "--first-start")
	}
	if p.DataFolder != "" {
		arguments = append(arguments, "--storage-faults", p.storageFaults())
	}
	if p.TimeOfDay != 0 {
		arguments = append(arguments, "--time-of-day", p.TimeOfDay.String())
	}
	// The process outlives every context; it ends by a signal.
	command := exec.CommandContext(context.Background(), p.program.Path, arguments...)
	command.Env = append(os.Environ(), p.program.Environment...)
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.ID, err)
	}
	defer func() { _ = log.Close() }()
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.ID, err)
	}
	ended := make(chan struct{})
	p.isStarted = true
	p.command, p.ended = command, ended
	p.incarnation++
	go p.await(command, ended)
	return nil
}

// await keeps how the process ended if nobody asked it to.
func (p *Process) await(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == command {
		p.failure = fmt.Sprintf("%s ended by itself: %v, see %s", p.ID, err, p.logPath)
		p.command = nil
	}
	close(ended)
}

// Failure says how the process ended by itself, empty if it did not.
func (p *Process) Failure() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

// Incarnation counts the starts. It is negative while the process does not run.
func (p *Process) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return -1
	}
	return p.incarnation
}

// Pause takes the processor from the process.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume gives the processor back.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Kill ends the process at once.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL) }

// Terminate stops the process gracefully.
func (p *Process) Terminate() error { return p.end(syscall.SIGTERM) }

// signalPause is the time between two signals of a series, short beside a stop.
const signalPause = 150 * time.Millisecond

// TerminateInSeries stops the process gracefully, and tells it again and to hang
// up while it stops.
func (p *Process) TerminateInSeries() error {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command != nil {
		go func() {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
				select {
				case <-ended:
					return
				case <-time.After(signalPause):
					_ = command.Process.Signal(s)
				}
			}
		}()
	}
	return p.Terminate()
}

func (p *Process) end(signal syscall.Signal) error {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.command = nil
	p.mu.Unlock()
	if command == nil {
		return nil
	}
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
		return nil
	case <-time.After(stopTimeout):
		_ = command.Process.Kill()
		return fmt.Errorf("%s, %s after %s: %w", p.ID, stopTimeout, signal, ErrStillRunning)
	}
}

// ClearDataFolder replaces the data folder by an empty one.
func (p *Process) ClearDataFolder() error {
	for _, folder := range []string{p.DataFolder, p.storageFaults()} {
		if err := os.RemoveAll(folder); err != nil {
			return fmt.Errorf("empty the data folder of %s: %w", p.ID, err)
		}
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("empty the data folder of %s: %w", p.ID, err)
		}
	}
	return nil
}

// storageFaults is the folder through which the storage is told to fail.
func (p *Process) storageFaults() string {
	return filepath.Join(filepath.Dir(p.DataFolder), "storage-"+p.ID)
}

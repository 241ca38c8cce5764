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

	"github.com/hornbeamwell/hornbeamwell/route"
)

// stopTimeout bounds the wait for the exit of a process after a signal. The
// program's own bound for a graceful stop is 30 s; the rest allows for a machine
// with more processes than processors.
const stopTimeout = 45 * time.Second

// ErrStillRunning means that a process did not exit in time and was killed.
var ErrStillRunning = errors.New("process did not exit and was killed")

// Program is the command that runs hornbeamwell.
type Program struct {
	Path string
	// Environment is added to the environment of this process.
	Environment []string
}

// Process is one process of the program. An exit that was not requested is
// recorded as a failure.
type Process struct {
	ID, Zone string
	// Callers, Announce and Operator are the addresses on which it accepts calls,
	// announcements of targets and requests of operators.
	Callers, Announce, Operator netip.AddrPort
	// DataFolder is empty unless the process is a control instance.
	DataFolder string
	// Settings is the path of the settings file.
	Settings string
	// Forwarder forwards the connections of other processes. It is nil if they
	// connect directly.
	Forwarder *Forwarder
	// Grace is the time between SIGTERM and SIGKILL, 0 if the process may take as long as
	// stopTimeout to end.
	Grace time.Duration
	// ClockOffset is added to the process's time of day.
	ClockOffset time.Duration

	program Program
	logPath string

	mu        sync.Mutex
	isStarted bool
	// command is nil before the start, and from the request to end the process or
	// its unexpected exit until the next start.
	command *exec.Cmd
	ended   chan struct{}
	// incarnation counts the starts.
	incarnation int
	// plannedStops are the stops of the process with its grace period.
	plannedStops []route.Stop
	// failure describes an exit that was not requested, empty if there was none.
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
		arguments = append(arguments, "--storage-faults", p.faultFolder())
	}
	if p.ClockOffset != 0 {
		arguments = append(arguments, "--time-of-day", p.ClockOffset.String())
	}
	// The process is ended by a signal, not by a context.
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
	go p.wait(command, ended)
	return nil
}

// wait waits for the exit of the process and records a failure if it was not
// requested.
func (p *Process) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == command {
		p.failure = fmt.Sprintf("%s exited unexpectedly: %v, see %s", p.ID, err, p.logPath)
		p.command = nil
	}
	close(ended)
}

// Failure describes an exit that was not requested, empty if there was none.
func (p *Process) Failure() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

// Incarnation returns the number of starts, -1 while the process is being ended or
// does not run.
func (p *Process) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return -1
	}
	return p.incarnation
}

// Pause suspends the process.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues the process after Pause.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL) }

// Terminate stops the process gracefully and waits for its exit.
func (p *Process) Terminate() error { return p.end(syscall.SIGTERM) }

// signalPause is the time between two signals of a series, short compared with
// a stop.
const signalPause = 150 * time.Millisecond

// TerminateRepeatedly stops the process gracefully, and sends it SIGHUP and
// SIGTERM again while it stops.
func (p *Process) TerminateRepeatedly() error {
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
	timeout := stopTimeout
	if command != nil && signal == syscall.SIGTERM && p.Grace > 0 {
		timeout = p.Grace
		p.plannedStops = append(p.plannedStops, route.Stop{Began: time.Now(), Grace: p.Grace})
	}
	p.mu.Unlock()
	if command == nil {
		return nil
	}
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
		return nil
	case <-time.After(timeout):
		_ = command.Process.Kill()
		<-ended
		if timeout == p.Grace && !wasKilled(command) {
			// The end was noticed late.
			return nil
		}
		return fmt.Errorf("%s, %s after signal %s: %w", p.ID, timeout, signal, ErrStillRunning)
	}
}

// wasKilled reports whether SIGKILL ended a command that was waited for.
func wasKilled(command *exec.Cmd) bool {
	status, ok := command.ProcessState.Sys().(syscall.WaitStatus)
	return !ok || status.Signaled() && status.Signal() == syscall.SIGKILL
}

// stopsBetween returns the stops with a grace period that began before the end of the time
// and whose grace period ended after its start.
func (p *Process) stopsBetween(from, until time.Time) []route.Stop {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stops []route.Stop
	for _, s := range p.plannedStops {
		if s.Began.Before(until) && s.Began.Add(s.Grace).After(from) {
			stops = append(stops, s)
		}
	}
	return stops
}

// ClearDataFolder replaces the data folder and its fault folder by empty ones.
func (p *Process) ClearDataFolder() error {
	for _, folder := range []string{p.DataFolder, p.faultFolder()} {
		if err := os.RemoveAll(folder); err != nil {
			return fmt.Errorf("clear the data folder of %s: %w", p.ID, err)
		}
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("clear the data folder of %s: %w", p.ID, err)
		}
	}
	return nil
}

// faultFolder returns the folder with the fault file and with the records of
// synced sizes and removed files.
func (p *Process) faultFolder() string {
	return filepath.Join(filepath.Dir(p.DataFolder), "storage-"+p.ID)
}

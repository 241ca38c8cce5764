// Package blackboard holds the control state that the controllers of a process
// read and write. One goroutine owns it.
package blackboard

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Leadership is what the ledger says of this process.
type Leadership struct {
	// HoldsLease is true while this process holds the leader's lease.
	HoldsLease bool
	// Leader is the id of the leader, empty when none is known.
	Leader string
	Term   uint64
}

// Command is a ledger command that a controller wants to propose.
type Command struct {
	// Label names the command in logs and metrics.
	Label string
	// Body is the encoded command.
	Body []byte
}

// Board is the shared control state. Only the goroutine of a Loop touches it.
type Board struct {
	// Configuration is the last committed configuration that this process
	// knows. It is never changed in place and its version never decreases.
	Configuration *hornbeamwell.Configuration
	Leadership    Leadership
	// Targets holds the newest announcement of each target by id.
	Targets map[string]hornbeamwell.Target
	// TargetsVersion grows with every change of Targets.
	TargetsVersion uint64
	Convergence    hornbeamwell.Convergence
	// Proxies are the proxies known below this process by id.
	Proxies map[string]hornbeamwell.ProxyStatus
	// Evidence holds the observations received since the move controller last
	// took them.
	Evidence []hornbeamwell.Observation
	// Commands are proposed by the ledger controller in order.
	Commands []Command
}

// Controller reads and writes the board. Step runs on the goroutine of the
// loop after every event and at least once per tick. It does not block.
type Controller interface {
	Step(now time.Time, board *Board)
}

// Event changes the board.
type Event func(now time.Time, board *Board)

// Loop runs events and controllers on one goroutine.
type Loop struct {
	board       *Board
	controllers []Controller
	events      chan Event
	tick        time.Duration
	now         func() time.Time
}

// eventBacklog bounds the events that wait for the loop. Post blocks above it,
// so that senders are slowed down rather than events lost.
const eventBacklog = 4096

// NewLoop returns a loop that steps the controllers in order. The clock is
// read once per event.
func NewLoop(now func() time.Time, tick time.Duration, controllers ...Controller) *Loop {
	return &Loop{
		board: &Board{
			Configuration: &hornbeamwell.Configuration{},
			Targets:       map[string]hornbeamwell.Target{},
			Proxies:       map[string]hornbeamwell.ProxyStatus{},
		},
		controllers: controllers,
		events:      make(chan Event, eventBacklog),
		tick:        tick,
		now:         now,
	}
}

// Add adds controllers behind the present ones. It is called before Run.
func (l *Loop) Add(controllers ...Controller) {
	l.controllers = append(l.controllers, controllers...)
}

// Post hands an event to the loop. It returns the context's error when the
// loop does not take it in time.
func (l *Loop) Post(ctx context.Context, event Event) error {
	select {
	case l.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do runs an event on the loop and waits until it has run.
func (l *Loop) Do(ctx context.Context, event Event) error {
	done := make(chan struct{})
	err := l.Post(ctx, func(now time.Time, board *Board) {
		event(now, board)
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run steps the controllers until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			now := l.now()
			event(now, l.board)
			l.drain(now)
			l.step(now)
		case <-ticker.C:
			l.step(l.now())
		}
	}
}

// drain runs the events that already wait, so that a burst costs one step of
// the controllers.
func (l *Loop) drain(now time.Time) {
	for range len(l.events) {
		event := <-l.events
		event(now, l.board)
	}
}

func (l *Loop) step(now time.Time) {
	for _, c := range l.controllers {
		c.Step(now, l.board)
	}
}

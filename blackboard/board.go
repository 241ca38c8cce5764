// Package blackboard provides the shared control state of a process and the
// event loop that owns it. Events change the state, and controllers read and
// write it after each burst of events.
//
// It runs in control instances and in relays. All events and controllers run on
// the goroutine of Loop.Run.
package blackboard

import (
	"context"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Leadership is the ledger leadership as seen by this process.
type Leadership struct {
	// HoldsLease is true while this process holds the leader's lease.
	HoldsLease bool
	// Leader is the id of the leader, empty when none is known.
	Leader string
	Term   uint64
}

// Command is a ledger command. It is not used.
type Command struct {
	// Label names the command in logs and metrics.
	Label string
	// Body is the encoded command.
	Body []byte
}

// Board is the shared control state. It must only be accessed on the goroutine
// of a Loop.
type Board struct {
	// Configuration is the latest committed configuration that this process has
	// received. It is never modified in place and its version never decreases.
	Configuration *hornbeamwell.Configuration
	Leadership    Leadership
	// Targets holds the latest announcement of each target by id.
	Targets map[string]hornbeamwell.Target
	// Departures holds the departures of targets that the ledger has, by ID of the target.
	// It is never modified in place. It is nil in a relay.
	Departures map[string]hornbeamwell.Departure
	// DeparturesVersion changes with Departures. It is 0 while there are none.
	DeparturesVersion uint64
	// TargetsVersion increases with every change of Targets.
	TargetsVersion uint64
	Convergence    hornbeamwell.Convergence
	// Proxies holds the known proxies by id. They connect to this process
	// directly, or through relays and other control instances. Silent proxies
	// are included.
	Proxies map[string]hornbeamwell.ProxyStatus
	// Evidence holds the observations that no controller has consumed yet. They
	// are consumed by the move controller in the leader, and by
	// delivery.Upstream in every other process.
	Evidence []hornbeamwell.Observation
	// Commands is not used.
	Commands []Command
}

// Controller reads and writes the board. Step runs on the goroutine of the loop
// after each burst of events and on every tick. It must not block.
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

// eventBacklog is the capacity of the event queue. Post blocks when it is full,
// so that senders are slowed down and no event is lost.
const eventBacklog = 4096

// NewLoop returns a Loop that steps the controllers in order. The clock is read
// once per burst of events and once per tick.
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

// Add appends controllers. It must be called before Run.
func (l *Loop) Add(controllers ...Controller) {
	l.controllers = append(l.controllers, controllers...)
}

// Post sends an event to the loop. It returns the context's error if the
// context ends before the event is queued.
func (l *Loop) Post(ctx context.Context, event Event) error {
	select {
	case l.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do runs an event on the loop and waits until it has run. If the context ends
// first, Do returns the context's error, and a queued event may still run later.
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

// Run processes events and steps the controllers until the context ends.
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

// drain runs the queued events, so that a burst of events costs one step of the
// controllers.
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

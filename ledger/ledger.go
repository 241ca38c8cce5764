package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// messageQueueSize is the capacity of the queue of received messages. When
	// it is full, messages are dropped, as they may be on the network. The queue
	// of lost connections has the same capacity.
	messageQueueSize = 1024
	// requestQueueSize is the capacity of the queue of proposals and of that of
	// reads.
	requestQueueSize = 1024
	// ticksPerHeartbeat is the number of ticks of the core per heartbeat
	// interval.
	ticksPerHeartbeat = 4
)

// Ledger is one instance of the replicated log. It is safe for concurrent use.
type Ledger struct {
	options       Options
	core          *core
	writer        *writer
	transport     *transport
	closeStorage  func()
	status        atomic.Pointer[Status]
	appliedIndex  uint64
	snapshotIndex uint64
	// bytesSinceSnapshot is the size of the data of the entries that were applied since the
	// last snapshot, snapshotBytes the size of that.
	bytesSinceSnapshot, snapshotBytes int

	messages chan Message
	// queuedBytes is the size of the data of the queued messages.
	queuedBytes     atomic.Int64
	proposals       chan *proposal
	reads           chan *readRequest
	changes         chan *changeRequest
	drains          chan chan struct{}
	lostConnections chan string
	stopped         chan struct{}

	// The fields below, core, and those about the applied entries and the last snapshot are
	// accessed only by the goroutine that runs the core.
	pendingProposals map[uint64]*proposal
	// waitingProposals wait until all initial instances have joined.
	waitingProposals []*proposal
	pendingReads     []*readRequest
	pendingChanges   []*changeRequest
	drain            drain
	leaderWatch      leaderWatch
	// restoreErr is set when the state machine failed to restore a snapshot from
	// the leader.
	restoreErr error
}

// Open loads the durable state of an instance. The instance takes part in the
// protocol once Run is called.
func Open(options Options) (*Ledger, error) {
	options = options.withDefaults()
	storage, closeStorage, err := options.openStorage()
	if err != nil {
		return nil, err
	}
	l, err := open(options, storage)
	if err != nil {
		closeStorage()
		return nil, err
	}
	l.closeStorage = closeStorage
	return l, nil
}

func open(options Options, storage hornbeamwell.LedgerStorage) (*Ledger, error) {
	state, err := storage.Load()
	if err != nil {
		return nil, fmt.Errorf("load ledger: %w", err)
	}
	if len(state.Snapshot.Data) > 0 {
		if err := options.StateMachine.Restore(state.Snapshot.Index, state.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore snapshot %d: %w", state.Snapshot.Index, err)
		}
	}
	now := options.Now()
	core, err := newCore(options.coreConfig(), state, now)
	if err != nil {
		return nil, fmt.Errorf("read ledger: %w", err)
	}
	l := &Ledger{
		options:          options,
		core:             core,
		writer:           newWriter(storage, options.Logger),
		appliedIndex:     state.Snapshot.Index,
		snapshotIndex:    state.Snapshot.Index,
		snapshotBytes:    len(state.Snapshot.Data),
		messages:         make(chan Message, messageQueueSize),
		proposals:        make(chan *proposal, requestQueueSize),
		reads:            make(chan *readRequest, requestQueueSize),
		changes:          make(chan *changeRequest),
		drains:           make(chan chan struct{}),
		lostConnections:  make(chan string, messageQueueSize),
		stopped:          make(chan struct{}),
		pendingProposals: map[uint64]*proposal{},
	}
	l.transport = newTransport(options.Timing, l.lostConnections, options.Logger)
	status := core.status(now)
	l.status.Store(&status)
	return l, nil
}

// Register registers the handlers for messages from other instances.
func (l *Ledger) Register(mux *wire.Mux) {
	wire.Handle(mux, methodMessage, func(_ context.Context, _ *wire.Peer, in wire.LedgerMessage) (struct{}, error) {
		m, err := decodeMessage(in)
		if err != nil {
			return struct{}{}, err
		}
		if !l.enqueue(m) {
			metricMessagesDropped.Inc()
		}
		return struct{}{}, nil
	})
	wire.Handle(mux, methodPing, func(context.Context, *wire.Peer, struct{}) (struct{}, error) {
		return struct{}{}, nil
	})
}

// Run takes part in the protocol until the context ends, the storage keeps
// rejecting a write, or the state machine fails to take or restore a snapshot.
// It must be called at most once.
func (l *Ledger) Run(ctx context.Context) error {
	defer l.closeStorage()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return l.loop(ctx) }, func(error) { cancel() })
	group.Add(l.writer.run, func(error) { l.writer.stop() })
	// The links stay open after the context ends until the leadership has been
	// transferred.
	linkCtx, cancelLinks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelLinks()
	group.Add(func() error { return l.transport.run(linkCtx) }, func(error) { cancelLinks() })
	if err := group.Run(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run ledger: %w", err)
	}
	return ctx.Err()
}

// Status returns the current status of this instance.
func (l *Ledger) Status() Status {
	s := *l.status.Load()
	s.HoldsLease = l.options.Now().Before(s.LeaseEnd)
	return s
}

// loop runs on the only goroutine that accesses the core while the ledger runs.
func (l *Ledger) loop(ctx context.Context) error {
	defer l.failPending()
	stop := ctx.Done()
	ticker := time.NewTicker(l.options.Timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			// A nil channel records that the context has ended and is not
			// received from again.
			stop = nil
			l.drain.start()
		case done := <-l.drains:
			l.drain.waiters = append(l.drain.waiters, done)
			l.drain.start()
		case <-l.drain.deadline:
			l.transferLeadership()
		case <-l.drain.leaveDeadline:
			l.endDrain()
		case <-ticker.C:
			l.tick()
		case m := <-l.messages:
			l.stepMessage(m)
			l.stepQueuedMessages()
		case p := <-l.proposals:
			l.propose(p)
		case q := <-l.reads:
			l.addReads(q)
		case r := <-l.changes:
			l.startChange(r)
		case id := <-l.lostConnections:
			l.step(connectionLostEvent{id: id})
		case <-l.writer.syncDone:
			l.step(syncedEvent{write: l.writer.synced.Load()})
		}
		if err := l.takeSnapshotIfDue(); err != nil {
			return err
		}
		l.completePending()
		if l.drain.isActive && (l.core.role != RoleLeader || len(l.pendingProposals) == 0) {
			l.transferLeadership()
		}
		// Once the context has ended, nobody may be able to reach this instance.
		if l.drain.isLeaving && (l.core.hasLeft() || stop == nil) {
			l.endDrain()
		}
		if stop == nil && !l.drain.isActive && !l.drain.isLeaving {
			return ctx.Err()
		}
	}
}

// tick handles the queued messages and then does the time-dependent work. After a delay of
// this process, what has arrived decides whether another instance was silent.
func (l *Ledger) tick() {
	l.stepQueuedMessages()
	l.step(tickEvent{})
	l.transport.update(l.options.Now(), l.core.log.members())
	l.proposeWaiting()
	l.reportLeaderLoss()
}

// stepQueuedMessages handles the messages that are already queued.
func (l *Ledger) stepQueuedMessages() {
	for range len(l.messages) {
		l.stepMessage(<-l.messages)
	}
}

// step runs one event through the core and carries out its effects.
func (l *Ledger) step(e event) effects {
	if m, isMessage := e.(messageEvent); isMessage {
		l.transport.resetBackoff(m.message.From.Address)
	}
	now := l.options.Now()
	out := l.core.Step(now, e)
	if len(out.writes) > 0 {
		l.writer.enqueue(out.writes, out.lastWrite)
	}
	for _, m := range out.messages {
		l.transport.send(now, m)
	}
	l.apply(out)
	return out
}

// completePending completes pending reads and member changes, publishes the
// status and calls OnLeadership if it is due.
func (l *Ledger) completePending() {
	now := l.options.Now()
	l.completeReads(now)
	l.completeChanges()
	next := l.core.status(now)
	previous := l.status.Swap(&next)
	metricTerm.Set(next.Term)
	metricCommit.Set(next.Commit)
	metricLogBytes.Set(uint64(l.core.log.bytes))
	if next.hasSameLeadership(previous) {
		return
	}
	l.logLeadership(previous, &next)
	l.options.OnLeadership(next)
}

func (l *Ledger) logLeadership(previous, next *Status) {
	leads := uint64(0)
	if next.HoldsLease {
		leads = 1
	}
	metricLeads.Set(leads)
	if previous.Leader == next.Leader && previous.HoldsLease == next.HoldsLease {
		return
	}
	logger := log.With(l.options.Logger, "term", next.Term)
	_ = logger.Log("event", "leadership", "role", next.Role, "leader", next.Leader, "leads", next.HoldsLease)
}

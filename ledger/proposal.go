package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// proposalTimeout is the longest wait for the outcome of a proposal.
const proposalTimeout = 10 * time.Second

// Result is the outcome of a committed command.
type Result struct {
	Index uint64
	// Response is what StateMachine.Apply returned.
	Response []byte
}

// proposal is a command that waits to be committed and applied.
type proposal struct {
	command []byte
	// claimed is true once the command was taken from the queue to be appended,
	// or its caller stopped waiting, whichever came first.
	claimed    atomic.Bool
	term       uint64
	proposedAt time.Time
	done       chan proposalOutcome
}

type proposalOutcome struct {
	result Result
	err    error
}

func (p *proposal) complete(result Result, err error) {
	p.done <- proposalOutcome{result: result, err: err}
}

// Propose appends a command and waits until it is committed and applied. An
// error that is a hornbeamwell.ErrNotRun means that the command did not run and
// never will. An error that is a hornbeamwell.ErrUnknownOutcome means that it
// may have run or may still run.
func (l *Ledger) Propose(ctx context.Context, command []byte) (Result, error) {
	if len(command) > l.options.Limits.CommandBytes {
		return Result{}, errTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	p := &proposal{command: command, proposedAt: time.Now(), done: make(chan proposalOutcome, 1)}
	select {
	case l.proposals <- p:
	case <-ctx.Done():
		return Result{}, fmt.Errorf("%w: %w", hornbeamwell.ErrNotRun, ctx.Err())
	case <-l.stopped:
		return Result{}, fmt.Errorf("%w: %w", hornbeamwell.ErrNotRun, errStopped)
	}
	return l.await(ctx, p)
}

// await waits for the outcome of a queued proposal.
func (l *Ledger) await(ctx context.Context, p *proposal) (Result, error) {
	select {
	case outcome := <-p.done:
		metricAppend.UpdateDuration(p.proposedAt)
		return outcome.result, outcome.err
	case <-ctx.Done():
		return p.abandon(ctx.Err())
	case <-l.stopped:
		return p.abandon(errStopped)
	}
}

// abandon returns the result of a proposal whose caller stops waiting: its outcome, if that
// is known by now.
func (p *proposal) abandon(cause error) (Result, error) {
	if p.claimed.CompareAndSwap(false, true) {
		return Result{}, fmt.Errorf("%w: %w", hornbeamwell.ErrNotRun, cause)
	}
	select {
	case outcome := <-p.done:
		return outcome.result, outcome.err
	default:
		return Result{}, fmt.Errorf("%w: %w", hornbeamwell.ErrUnknownOutcome, cause)
	}
}

// propose appends a proposal and those queued behind it, at most
// Limits.BatchEntries in all.
func (l *Ledger) propose(first *proposal) {
	more := min(len(l.proposals), l.options.Limits.BatchEntries-1)
	batch := make([]*proposal, 1, 1+more)
	batch[0] = first
	for range more {
		batch = append(batch, <-l.proposals)
	}
	if l.core.isForming(l.options.Now()) && len(l.waitingProposals) < requestQueueSize {
		l.waitingProposals = append(l.waitingProposals, batch...)
		return
	}
	l.proposeBatch(batch)
}

// proposeWaiting appends the proposals that waited until all initial instances had joined.
func (l *Ledger) proposeWaiting() {
	if len(l.waitingProposals) == 0 || l.core.isForming(l.options.Now()) {
		return
	}
	waiting := l.waitingProposals
	l.waitingProposals = nil
	l.proposeBatch(waiting)
}

func (l *Ledger) proposeBatch(batch []*proposal) {
	var accepted []*proposal
	var commands [][]byte
	for _, p := range batch {
		if p.claimed.CompareAndSwap(false, true) {
			accepted = append(accepted, p)
			commands = append(commands, p.command)
		}
	}
	if len(accepted) == 0 {
		return
	}
	if l.drain.rejectsProposals {
		for _, p := range accepted {
			p.complete(Result{}, &hornbeamwell.NotLeaderError{})
		}
		return
	}
	metricProposals.Add(len(accepted))
	l.appendProposals(accepted, commands)
}

// appendProposals passes commands to the core. On the leader it registers the
// proposals before the step, and removes them again if the core rejects them.
func (l *Ledger) appendProposals(accepted []*proposal, commands [][]byte) {
	status := l.core.status(l.options.Now())
	for i, p := range accepted {
		p.term = status.Term
		if status.Role == RoleLeader {
			l.pendingProposals[status.LastIndex+1+uint64(i)] = p
		}
	}
	out := l.step(proposeEvent{commands: commands})
	if out.rejected == nil {
		return
	}
	for i, p := range accepted {
		delete(l.pendingProposals, status.LastIndex+1+uint64(i))
		p.complete(Result{}, out.rejected)
	}
}

// completeProposal completes the proposal at the index of a committed entry.
func (l *Ledger) completeProposal(e hornbeamwell.LedgerEntry, response []byte) {
	p, ok := l.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(l.pendingProposals, e.Index)
	if p.term != e.Term {
		p.complete(Result{}, errReplaced)
		return
	}
	p.complete(Result{Index: e.Index, Response: response}, nil)
}

// failPending fails the pending reads and member changes when the ledger stops.
// Propose returns by itself once stopped is closed.
func (l *Ledger) failPending() {
	close(l.stopped)
	for _, q := range l.pendingReads {
		q.done <- errStopped
	}
	for _, r := range l.pendingChanges {
		r.done <- hornbeamwell.ErrUnknownOutcome
	}
}

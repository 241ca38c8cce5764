package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// withdrawalResult is what the exit proxy knows about an attempt that an entry proxy
// withdraws.
type withdrawalResult string

const (
	// withdrawalWithdrawn means that the target has not received the attempt and never
	// will.
	withdrawalWithdrawn withdrawalResult = "withdrawn"
	// withdrawalStarted means that the attempt was handed to the target.
	withdrawalStarted withdrawalResult = "started"
	// withdrawalUnknown means that the exit proxy does not know, did not reply in time,
	// or is of a version that knows no withdrawals.
	withdrawalUnknown withdrawalResult = "unknown"
)

const (
	// withdrawalTimeout bounds a withdrawal including the dial.
	withdrawalTimeout = 100 * time.Millisecond
	// withdrawalRetention is the time for which an exit proxy remembers the id of a
	// withdrawn attempt and the attempts that it handed over.
	withdrawalRetention = 30 * time.Second
	// maxAttemptRecords bounds the attempts that are remembered after their end,
	// maxWithdrawnRecords the withdrawn ones. A record takes about 100 bytes.
	maxAttemptRecords   = 16 << 10
	maxWithdrawnRecords = 8 << 10
	// maxRetentionStep bounds the time that counts towards the retention of a withdrawn
	// id between two requests. While a process is frozen, a request with that id may be
	// waiting in a socket, so that the time of the freeze must not count.
	maxRetentionStep = time.Second
)

// attemptKey is a parsed attempt id.
type attemptKey struct {
	// process is random for each process, number counts its attempts.
	process, number uint64
}

// attemptIDBase is the base of the numbers in an attempt id.
const attemptIDBase = 36

// parseAttemptID decodes an attempt id. It returns false if the text is not valid.
func parseAttemptID(id string) (attemptKey, bool) {
	process, number, found := strings.Cut(id, "-")
	if !found {
		return attemptKey{}, false
	}
	p, processErr := strconv.ParseUint(process, attemptIDBase, 64)
	n, numberErr := strconv.ParseUint(number, attemptIDBase, 64)
	return attemptKey{process: p, number: n}, processErr == nil && numberErr == nil
}

// attemptState is the state of an attempt at the exit proxy.
type attemptState string

const (
	attemptQueued    attemptState = "queued"
	attemptStarted   attemptState = "started"
	attemptWithdrawn attemptState = "withdrawn"
	// attemptUnseen is the state of an attempt that has not arrived or has ended as not
	// run.
	attemptUnseen attemptState = "unseen"
)

// attemptRecord is an attempt at the exit proxy. The mutex of its registry guards it.
type attemptRecord struct {
	key     attemptKey
	arrived time.Time
	state   attemptState
	// call is the call of the attempt, nil after its end.
	call *exitCall
	// isOrdered is true while the record is in the registry's order.
	isOrdered bool
}

// attemptRegistry decides whether an attempt is handed to the target or withdrawn, never
// both. It is safe for concurrent use. It holds every attempt that is being served, and
// for withdrawalRetention after their arrivals those that were handed over and ended.
type attemptRegistry struct {
	mu       sync.Mutex
	attempts map[attemptKey]*attemptRecord
	// order holds the attempts in the order of their arrivals, for forgetting.
	order []*attemptRecord
	// recordsSince is the time from which on the registry has a record of each attempt
	// that arrived and was handed over, zero before the first request.
	recordsSince time.Time
	// withdrawn holds the ids that are refused if they arrive, with the times of
	// elapsed at which they were withdrawn, withdrawnOrder their order.
	withdrawn      map[attemptKey]time.Duration
	withdrawnOrder []attemptKey
	// elapsed is the time that has passed between requests, at most maxRetentionStep
	// for each. observed is the time of the latest request.
	elapsed  time.Duration
	observed time.Time
}

func (r *attemptRegistry) init() {
	r.attempts = make(map[attemptKey]*attemptRecord)
	r.withdrawn = make(map[attemptKey]time.Duration)
}

// begin records an attempt that arrives. It returns false if the attempt was withdrawn,
// and no record if the id is not valid.
func (r *attemptRegistry) begin(now time.Time, call *exitCall) (*attemptRecord, bool) {
	key, valid := parseAttemptID(call.id)
	if !valid {
		return nil, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	if _, isWithdrawn := r.withdrawn[key]; isWithdrawn {
		return nil, false
	}
	record := &attemptRecord{key: key, arrived: now, state: attemptQueued, call: call, isOrdered: true}
	r.attempts[key] = record
	r.order = append(r.order, record)
	return record, true
}

// advance records the time of a request and forgets what is older than the retention.
func (r *attemptRegistry) advance(now time.Time) {
	if r.recordsSince.IsZero() {
		r.recordsSince, r.observed = now, now
	}
	if step := now.Sub(r.observed); step > 0 {
		r.elapsed += min(step, maxRetentionStep)
		r.observed = now
	}
	for len(r.order) > 0 && (len(r.order) >= maxAttemptRecords || now.Sub(r.order[0].arrived) >= withdrawalRetention) {
		first := r.order[0]
		r.order[0] = nil
		r.order = r.order[1:]
		first.isOrdered = false
		if first.call == nil {
			r.forget(first)
		}
	}
	for len(r.withdrawnOrder) > 0 && r.elapsed-r.withdrawn[r.withdrawnOrder[0]] >= withdrawalRetention {
		delete(r.withdrawn, r.withdrawnOrder[0])
		r.withdrawnOrder = r.withdrawnOrder[1:]
	}
}

// forget removes a record that has ended. Nothing is known any more about attempts that
// arrived before it.
func (r *attemptRegistry) forget(record *attemptRecord) {
	if r.attempts[record.key] != record {
		return
	}
	delete(r.attempts, record.key)
	if record.arrived.After(r.recordsSince) {
		r.recordsSince = record.arrived
	}
}

// handOver returns true if the attempt may be handed to the target, which is then what a
// withdrawal is told. It returns false if the attempt was withdrawn.
func (r *attemptRegistry) handOver(record *attemptRecord) bool {
	if record == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.state == attemptWithdrawn {
		return false
	}
	record.state = attemptStarted
	return true
}

// takeBack records that no byte of an attempt that was to be handed over was sent, or
// that the target stated that it does not run it.
func (r *attemptRegistry) takeBack(record *attemptRecord) {
	if record == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.state == attemptStarted {
		record.state = attemptQueued
	}
}

// stateOf returns the state of an attempt, attemptQueued for one without a record.
func (r *attemptRegistry) stateOf(record *attemptRecord) attemptState {
	if record == nil {
		return attemptQueued
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return record.state
}

// end records the end of an attempt. One that was not handed over needs no record: it is
// treated as one that has not arrived.
func (r *attemptRegistry) end(record *attemptRecord) {
	if record == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record.call = nil
	switch {
	case record.state != attemptStarted:
		if r.attempts[record.key] == record {
			delete(r.attempts, record.key)
		}
	case !record.isOrdered:
		r.forget(record)
	}
}

// withdrawalDecision is the decision about a withdrawal and its inputs.
type withdrawalDecision struct {
	result withdrawalResult
	// state is the state of the attempt before.
	state attemptState
	// recordsAge is the time for which the registry has a record of each attempt that
	// was handed over. Withdrawn is true only of attempts that were sent within it.
	// It is maxDuration if the attempt itself has a record.
	recordsAge time.Duration
	// age is the time since the arrival of the attempt, 0 if it has no record.
	age time.Duration
	// queued is the call that is to be removed from the queue, nil if there is none.
	queued *exitCall
	// remembered is the number of withdrawn attempts that are remembered.
	remembered int
}

// withdraw withdraws the attempt with the id unless it was handed over. An attempt that
// has not arrived is refused if it arrives later.
func (r *attemptRegistry) withdraw(now time.Time, id string) withdrawalDecision {
	key, valid := parseAttemptID(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	d := withdrawalDecision{result: withdrawalUnknown, state: attemptUnseen, recordsAge: now.Sub(r.recordsSince), remembered: len(r.withdrawnOrder)}
	if !valid {
		return d
	}
	if record := r.attempts[key]; record != nil {
		d.state, d.recordsAge, d.age = record.state, maxDuration, now.Sub(record.arrived)
		switch record.state {
		case attemptStarted:
			d.result = withdrawalStarted
		default:
			record.state = attemptWithdrawn
			d.result, d.queued = withdrawalWithdrawn, record.call
		}
		return d
	}
	if _, isWithdrawn := r.withdrawn[key]; isWithdrawn {
		d.result, d.state = withdrawalWithdrawn, attemptWithdrawn
		return d
	}
	if len(r.withdrawnOrder) >= maxWithdrawnRecords {
		return d
	}
	r.withdrawn[key] = r.elapsed
	r.withdrawnOrder = append(r.withdrawnOrder, key)
	d.result = withdrawalWithdrawn
	return d
}

// serveWithdrawal replies to an entry proxy that withdraws an attempt.
func (p *Proxy) serveWithdrawal(w http.ResponseWriter, r *http.Request) {
	id := headerValue(r.Header, headerWithdraw)
	now := p.options.Now()
	d := p.attemptRecords.withdraw(now, id)
	if d.queued != nil {
		d.queued.local.gate.cancelWaiting(&d.queued.waiter)
	}
	withdrawalsServed[d.result].Inc()
	p.logCall(now, false, "event", "withdrawal_answered", "attempt", id, "result", d.result, "state", d.state, "age_ms", d.age.Milliseconds(),
		"records_age_ms", d.recordsAge.Milliseconds(), "remembered", d.remembered)
	h := w.Header()
	h[headerWithdraw] = []string{string(d.result)}
	h[headerMemory] = []string{formatDuration(d.recordsAge)}
	w.WriteHeader(http.StatusNoContent)
}

// cancelWaiting ends the wait of a call for a slot.
func (g *gate) cancelWaiting(w *route.Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.Cancel(w) {
		w.Decided <- route.VerdictLate
	}
}

// withdraw asks the exit proxy of an attempt whose response is no longer awaited, or can
// no longer arrive, not to run it. After withdrawalWithdrawn the target has not received
// the attempt and never will. It returns within withdrawalTimeout.
func (p *Proxy) withdraw(ctx context.Context, attempt *sentAttempt) withdrawalResult {
	result, _ := p.tryWithdraw(ctx, attempt)
	return result
}

// tryWithdraw does what withdraw does, and reports whether the exit proxy replied.
func (p *Proxy) tryWithdraw(ctx context.Context, attempt *sentAttempt) (result withdrawalResult, isAnswered bool) {
	sent := p.options.Now()
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	reply, err := p.requestWithdrawal(ctx, attempt)
	now := p.options.Now()
	age := elapsedSince(now, attempt.started)
	result = withdrawalUnknown
	if err == nil {
		result = decideWithdrawal(reply, age)
	}
	withdrawalsSent[result].Inc()
	p.logCall(now, false, "event", "attempt_withdrawn", "attempt", attempt.id, "target", attempt.candidate.ID, "result", result,
		"reply", reply.result, "attempt_age_ms", age.Milliseconds(), "records_age_ms", reply.recordsAge.Milliseconds(),
		"ms", now.Sub(sent).Milliseconds(), "err", err)
	return result, err == nil
}

// withdrawalReply is the reply of an exit proxy to a withdrawal. The result is empty if
// there is none.
type withdrawalReply struct {
	result     withdrawalResult
	recordsAge time.Duration
}

// ageTolerance is the fraction by which the clocks of two machines may differ in rate. The
// kernel slews a clock by at most 500 ppm.
const ageTolerance = 0.001

// decideWithdrawal returns the result of a withdrawal, given its reply and the time from
// the sending of the attempt to the arrival of the reply. An exit proxy whose records
// began after the attempt was sent, as after a restart, may have lost the record.
func decideWithdrawal(reply withdrawalReply, attemptAge time.Duration) withdrawalResult {
	hasRecords := float64(reply.recordsAge) > float64(attemptAge)*(1+ageTolerance)
	switch {
	case reply.result == withdrawalStarted:
		return withdrawalStarted
	case reply.result == withdrawalWithdrawn && hasRecords:
		return withdrawalWithdrawn
	default:
		return withdrawalUnknown
	}
}

// elapsedSince returns the time since start, by the monotonic or the wall clock,
// whichever shows more. The monotonic one does not count the time for which the machine
// was suspended.
func elapsedSince(now, start time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}

// requestWithdrawal sends a withdrawal on a new connection, since idle ones may have been
// lost together with that of the attempt.
func (p *Proxy) requestWithdrawal(ctx context.Context, attempt *sentAttempt) (withdrawalReply, error) {
	peer := attempt.upstream.peer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.pool.address+"/", nil)
	if err != nil {
		return withdrawalReply{}, fmt.Errorf("create withdrawal: %w", err)
	}
	request.Header[headerWithdraw] = []string{attempt.id}
	connection, err := peer.pool.open(ctx, p.options.Now())
	if err != nil {
		return withdrawalReply{}, fmt.Errorf("connect for withdrawal: %w", err)
	}
	// A missing reply says too little about the other connections to close them.
	response, err := connection.client.RoundTrip(request)
	if err != nil {
		connection.discard()
		return withdrawalReply{}, fmt.Errorf("send withdrawal: %w", err)
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
	_ = response.Body.Close()
	connection.finish(p.options.Now())
	reply := withdrawalReply{result: withdrawalResult(headerValue(response.Header, headerWithdraw))}
	recordsAge, valid := parseDuration(headerValue(response.Header, headerMemory))
	if !valid {
		// A proxy of an earlier version refuses the request as a malformed call.
		return withdrawalReply{result: withdrawalUnknown}, nil
	}
	reply.recordsAge = recordsAge
	return reply, nil
}

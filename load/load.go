package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// countTimeout bounds the request for the counted runs after the load.
const countTimeout = 10 * time.Second

// Load sends calls and records their results.
type Load struct {
	options Options
	// id is a random id, with which the ids of the requests of this load begin.
	id       string
	client   *http.Client
	recorder *recorder
	random   *rand.Rand
	// slots holds one element for each call in flight.
	slots chan struct{}
}

// New returns a load that Run starts.
func New(options Options) (*Load, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConns:        options.MaxInFlight,
		MaxIdleConnsPerHost: options.MaxInFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Load{
		options:  options,
		id:       strconv.FormatUint(rand.Uint64(), 36),
		client:   &http.Client{Transport: transport},
		recorder: newRecorder(),
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed)),
		slots:    make(chan struct{}, options.MaxInFlight),
	}, nil
}

// Progress returns the report so far, without the counted runs.
func (l *Load) Progress() Report { return l.recorder.snapshot() }

// Run sends calls for the duration or until the context ends, waits for those
// in flight, and counts the runs.
func (l *Load) Run(ctx context.Context) (Report, error) {
	defer l.client.CloseIdleConnections()
	// Calls in flight finish after the load has ended.
	callCtx := context.WithoutCancel(ctx)
	if l.options.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.options.Duration)
		defer cancel()
	}
	started := time.Now()
	l.sendAll(ctx, callCtx, started)
	duration := time.Since(started)
	err := l.countRuns(callCtx)
	report := l.recorder.snapshot()
	report.Duration = duration
	return report, err
}

// sendAll starts each call at its due time until the context ends or maxCalls have
// started, then waits for the calls in flight.
func (l *Load) sendAll(ctx, callCtx context.Context, started time.Time) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	period := time.Duration(float64(time.Second) / l.options.Rate)
	for sequence := uint64(0); sequence < maxCalls; sequence++ {
		due := started.Add(time.Duration(sequence) * period)
		if !sleepUntil(ctx, due) {
			return
		}
		req := newRequest(l.id, sequence, l.pick())
		entry := l.options.Entries[sequence%uint64(len(l.options.Entries))]
		select {
		case l.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		inFlight.Go(func() {
			defer func() { <-l.slots }()
			l.send(callCtx, req, entry, due)
		})
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// pick draws a kind of call, weighted by Call.Weight.
func (l *Load) pick() Call {
	var total float64
	for _, c := range l.options.Calls {
		total += c.Weight
	}
	draw := l.random.Float64() * total
	for _, c := range l.options.Calls {
		if draw -= c.Weight; draw < 0 {
			return c
		}
	}
	return l.options.Calls[len(l.options.Calls)-1]
}

func (l *Load) send(ctx context.Context, req request, entry netip.AddrPort, due time.Time) {
	sent := time.Now()
	res := l.sendOnce(ctx, req, entry)
	if l.options.Resend && req.call.Keyed && (res.verdict == VerdictUnknown || res.verdict == VerdictLost) {
		l.recorder.addResend()
		res = l.sendOnce(ctx, req, entry)
	}
	l.recorder.add(req, res, time.Since(due))
	if l.options.Record != nil {
		l.options.Record(Result{
			ID: req.id, Path: req.call.Path, Idempotent: req.call.Idempotent, Entry: entry, Target: res.target,
			Verdict: res.verdict, Reason: res.reason, Sent: sent, Ended: time.Now(),
		})
	}
}

func (l *Load) sendOnce(ctx context.Context, req request, entry netip.AddrPort) result {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	return req.send(ctx, l.client, entry)
}

func (l *Load) countRuns(ctx context.Context) error {
	if l.options.CountRuns == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	runs, err := l.options.CountRuns(ctx, idPrefix(l.id, false))
	if err != nil {
		return fmt.Errorf("count runs: %w", err)
	}
	l.recorder.checkRuns(runs)
	return nil
}

package proxy

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// handoverTimeout bounds the handover of the records of a proxy that stops,
	// and each attempt of a new proxy to fetch them.
	handoverTimeout = 2 * time.Second
	// handoverAttempts is the maximum number of times that a new proxy requests
	// the records of the previous process, handoverRetryDelay the time between
	// two attempts.
	handoverAttempts   = 10
	handoverRetryDelay = 500 * time.Millisecond
	// handoverHolders is the number of proxies that may store the records of one that
	// stops. It does not grow with the service: all proxies of a fleet may start at
	// the same time.
	handoverHolders = 8
	// handoverAbsentRounds is the number of attempts after which a new proxy stops if
	// every proxy that it asked had no records. The first list of targets may lack
	// some.
	handoverAbsentRounds = 3
	// maxHandoverBytes bounds the size of a handover, and of all handovers that
	// a proxy stores for others. handoverShare bounds them as a fraction of the memory
	// for clients.
	maxHandoverBytes = 64 << 20
	handoverShare    = 0.25
)

// handOver sends the records to the proxy of another target, from which the next
// process beside the local target fetches them. Only one copy is stored, so that
// it is used once. From now on this proxy refuses new keys and the claims of
// other proxies.
func (p *Proxy) handOver(ctx context.Context) {
	local := p.local.Load()
	if local == nil {
		return
	}
	now := p.options.Now()
	p.keys.mu.Lock()
	p.keys.closed = true
	handover := wire.FromRecords(now, p.keys.recordsAge(now), p.keys.records.Export(now))
	targets := p.keys.targets
	p.keys.mu.Unlock()
	body, err := json.Marshal(handover)
	if err != nil || len(body) > maxHandoverBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, target := range handoverTargets(local.Target, targets) {
		if target.State != hornbeamwell.TargetReady {
			continue
		}
		reply, err := p.exchangeHandover(ctx, target, local.ID, http.MethodPut, body)
		isRefused := err == nil && reply.status != http.StatusOK
		// After a request that may have arrived, no second copy is sent.
		if !isRefused && (err == nil || !isUnsent(err)) {
			return
		}
	}
}

// handoverTargets returns the targets whose proxies may store the records of the proxy
// beside the local target, in the order in which they are asked. The proxy that stops
// and the next one choose the same targets.
func handoverTargets(local hornbeamwell.Target, targets []hornbeamwell.Target) []hornbeamwell.Target {
	var others []hornbeamwell.Target
	for _, target := range targets {
		if target.Service == local.Service && target.ID != local.ID {
			others = append(others, target)
		}
	}
	slices.SortFunc(others, func(a, b hornbeamwell.Target) int {
		return cmp.Or(cmp.Compare(route.HashWeight(local.ID, b.ID), route.HashWeight(local.ID, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return others[:min(len(others), handoverHolders)]
}

// handoverReply is the reply to a handover request.
type handoverReply struct {
	// status is 200 if the records were stored or are returned, and 404 if there are
	// none. Any other status is a refusal.
	status  int
	records []byte
	// storedFor is the time since the records were stored.
	storedFor time.Duration
}

// exchangeHandover asks the proxy beside target to store (PUT) or to return (GET) the
// records of the target with the id.
func (p *Proxy) exchangeHandover(ctx context.Context, target hornbeamwell.Target, id, method string, body []byte) (handoverReply, error) {
	peer := p.peers.get(target.Exit)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+peer.pool.address+"/", bytes.NewReader(body))
	if err != nil {
		return handoverReply{}, fmt.Errorf("create handover request: %w", err)
	}
	request.Header[headerHandover] = []string{id}
	request.Header[headerTarget] = []string{target.ID}
	response, err := peer.exchange(ctx, p.options.Now, request)
	if err != nil {
		return handoverReply{}, fmt.Errorf("send handover request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	reply := handoverReply{status: response.StatusCode}
	reply.records, err = io.ReadAll(io.LimitReader(response.Body, maxHandoverBytes))
	if err != nil {
		return handoverReply{}, fmt.Errorf("read handover response: %w", err)
	}
	reply.storedFor, _ = parseDuration(headerValue(response.Header, headerMemory))
	return reply, nil
}

// serveHandover stores or returns the records of another target's proxy.
func (p *Proxy) serveHandover(w http.ResponseWriter, r *http.Request) {
	id := headerValue(r.Header, headerHandover)
	local := p.local.Load()
	if local == nil || local.ID != headerValue(r.Header, headerTarget) || p.isDraining(local) {
		w.Header()[headerHandover] = []string{id}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodPut {
		body, release, err := readPeerBody(r, p.keys.maxHandover())
		w.Header()[headerHandover] = []string{id}
		if err != nil || !areNames(id) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		defer release()
		if !p.keys.storeHandover(p.options.Now(), id, body) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, storedFor := p.keys.popHandover(p.options.Now(), id)
	w.Header()[headerHandover] = []string{id}
	if body == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header()[headerMemory] = []string{formatDuration(storedFor)}
	// A proxy that does not receive the whole body replies with an unknown
	// outcome for its keys.
	_, _ = w.Write(body)
}

// handover holds the records of another proxy that stopped.
type handover struct {
	body       []byte
	receivedAt time.Time
}

// storeHandover stores the records of the proxy beside the target with the id
// for route.RecordLifetime. It returns false if there is no room for them.
func (k *keyStore) storeHandover(now time.Time, id string, body []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	stored := 0
	for other, h := range k.handovers {
		if other == id || now.Sub(h.receivedAt) > route.RecordLifetime {
			k.removeHandover(other)
			continue
		}
		stored += len(h.body)
	}
	if int64(stored+len(body)) > k.maxHandover() {
		return false
	}
	k.handovers[id] = handover{body: body, receivedAt: now}
	k.connections.Hold(int64(len(body)))
	return true
}

// maxHandover returns the largest size of the handovers that this proxy stores.
func (k *keyStore) maxHandover() int64 {
	return min(k.connections.MemoryShare(handoverShare, maxHandoverBytes), maxHandoverBytes)
}

// removeHandover removes the records of the proxy beside the target with the id. The caller
// holds the mutex.
func (k *keyStore) removeHandover(id string) {
	k.connections.Hold(-int64(len(k.handovers[id].body)))
	delete(k.handovers, id)
}

// popHandover returns and removes the records of the proxy beside the target
// with the id. The body is nil if there are none.
func (k *keyStore) popHandover(now time.Time, id string) (body []byte, storedFor time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, found := k.handovers[id]
	k.removeHandover(id)
	if !found || now.Sub(h.receivedAt) > route.RecordLifetime {
		return nil, 0
	}
	return h.body, now.Sub(h.receivedAt)
}

// fetchHandover requests the records of the previous process beside the local
// target from the proxies that may store them.
func (p *Proxy) fetchHandover() {
	absentRounds := 0
	for range handoverAttempts {
		isFound, isAbsent := p.tryFetchHandover()
		if isAbsent {
			absentRounds++
		}
		if isFound || absentRounds == handoverAbsentRounds {
			return
		}
		time.Sleep(handoverRetryDelay)
	}
}

// tryFetchHandover makes one attempt to fetch the records. isAbsent is true if every
// proxy that was asked replied that it has none.
func (p *Proxy) tryFetchHandover() (isFound, isAbsent bool) {
	local := p.local.Load()
	p.keys.mu.Lock()
	targets := p.keys.targets
	p.keys.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	asked := handoverTargets(local.Target, targets)
	absent := 0
	for _, target := range asked {
		reply, err := p.exchangeHandover(ctx, target, local.ID, http.MethodGet, nil)
		if err == nil && reply.status == http.StatusNotFound {
			absent++
		}
		if err != nil || reply.status != http.StatusOK {
			continue
		}
		now := p.options.Now()
		var message wire.Handover
		if err := json.Unmarshal(reply.records, &message); err != nil {
			// A part of the records would let the calls of the others run twice.
			handoversUnreadable.Inc()
			p.logCall(now, false, "event", "handover_unreadable", "from", target.ID, "bytes", len(reply.records), "err", err)
			return true, false
		}
		p.keys.importHandover(now.Add(-reply.storedFor), message)
		return true, false
	}
	return false, len(asked) > 0 && absent == len(asked)
}

// importHandover imports the records that the previous process handed over at
// the given time. If the records of the previous process were complete for
// longer than those of this one, recordsSince moves back accordingly.
func (k *keyStore) importHandover(at time.Time, message wire.Handover) {
	recordsAge, records := wire.ToRecords(at, message)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records.Import(at, records)
	if since := at.Add(-recordsAge); since.Before(k.recordsSince) {
		k.recordsSince = since
	}
	recordsImported.Add(len(records))
}

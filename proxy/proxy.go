package proxy

import (
	"encoding/binary"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// Proxy is the entry side and the exit side of one process. Its methods are
// safe for concurrent use.
type Proxy struct {
	options Options
	// table is never nil. Its version never decreases.
	table atomic.Pointer[table]
	// shareLease is the expiry of the lease of the canary shares on the clock
	// Options.LeaseNow. It is nil before the first lease.
	shareLease atomic.Pointer[time.Time]
	// keyLease is the end of the lease of API keys on the clock Options.LeaseNow. It is
	// nil before the first lease.
	keyLease atomic.Pointer[time.Time]
	// teamCalls counts the calls of teams.
	teamCalls teamCalls
	// hasTeams is true if the configuration in force has teams.
	hasTeams atomic.Bool
	// hasPace is true once a target stated its pace.
	hasPace atomic.Bool
	// local is the target beside this proxy, nil until it is announced.
	local atomic.Pointer[localTarget]
	// keepAlivesDisabled is set by DisableKeepAlives.
	keepAlivesDisabled atomic.Bool
	draining           atomic.Bool
	inFlight           inFlight
	stopping           stopping
	peers              peerSet
	keys               keyStore
	suspects           suspectSet
	departures         departures
	quotas             teamQuotas
	nested             nestedCalls
	link               *route.Link
	// healthClient sends the health requests to the target beside this proxy.
	healthClient *http.Client
	tracer       hopTracer
	// attempts numbers the attempts. attemptPrefix, a random 64-bit number of this
	// process, distinguishes them from the attempts of other processes.
	attempts      atomic.Uint64
	attemptPrefix string
	// attemptRecords holds the attempts at the exit side.
	attemptRecords attemptRegistry
	// transits measures the delay of calls of other proxies.
	transits transitMeter

	// updateMu serializes Update and SetLocalTarget and guards the fields
	// below, except callLog.
	updateMu sync.Mutex
	// upstreams holds the state of each target of the table by target id.
	upstreams map[string]*upstream
	// routes holds the state of each route by name.
	routes map[string]*routeState
	// budgets holds the retry budget of each service by name.
	budgets map[string]*route.Budget
	// healths holds the health of each service by name.
	healths map[string]*route.Health
	// hedges holds the hedges of each service by name.
	hedges  map[string]*serviceHedges
	callLog callLogLimits
	// isZoneEvacuated is true while the zone of this proxy is evacuated.
	isZoneEvacuated bool
	// targetCache merges the target lists of several sources.
	targetCache targetCache
}

// New returns a proxy with an empty configuration and no local target.
func New(options Options) *Proxy {
	options.setDefaults()
	p := &Proxy{
		options:       options,
		attemptPrefix: newAttemptPrefix(),
		upstreams:     make(map[string]*upstream),
		routes:        make(map[string]*routeState),
		budgets:       make(map[string]*route.Budget),
		healths:       make(map[string]*route.Health),
		hedges:        make(map[string]*serviceHedges),
		callLog:       newCallLogLimits(),
		link:          route.NewLink(options.LinkRate),
		healthClient:  newHealthClient(),
	}
	p.tracer = newHopTracer(options.Tracer)
	p.stopping.init()
	p.peers.init(options.Connections)
	p.suspects.init()
	p.attemptRecords.init()
	p.transits.init()
	p.keys.connections = options.Connections
	p.keys.init(options.RecordsCompleteSince)
	p.quotas.init(p)
	p.table.Store(emptyTable())
	return p
}

// EntryHandler returns the handler for calls from callers.
func (p *Proxy) EntryHandler() http.Handler { return http.HandlerFunc(p.serveEntry) }

// ExitHandler returns the handler for requests from other proxies.
func (p *Proxy) ExitHandler() http.Handler { return http.HandlerFunc(p.serveExit) }

// SetShareLease allows calls to canary versions, and calls with an API key where the
// configuration has no teams, until the given time on the clock
// Options.LeaseNow. After that the stable version of a move receives all calls.
func (p *Proxy) SetShareLease(until time.Time) { p.shareLease.Store(&until) }

// isShareLeased reports whether calls to canary versions are allowed at the time
// of Options.LeaseNow.
func (p *Proxy) isShareLeased(leaseNow time.Time) bool {
	until := p.shareLease.Load()
	return until != nil && leaseNow.Before(*until)
}

// attemptSeparator ends the prefix of an attempt id.
const attemptSeparator = "-"

// newAttemptPrefix returns the prefix of the attempt ids of a process. The part of a
// random UUID that holds its version is left out.
func newAttemptPrefix() string {
	random := uuid.New()
	return strconv.FormatUint(binary.BigEndian.Uint64(random[8:]), attemptIDBase) + attemptSeparator
}

// nextAttemptID returns an attempt id. It is unique among the attempts of all processes,
// except that two processes may have the same prefix with a probability of 2^-62.
func (p *Proxy) nextAttemptID() string {
	return p.attemptPrefix + strconv.FormatUint(p.attempts.Add(1), attemptIDBase)
}

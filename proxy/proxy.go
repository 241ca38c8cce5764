package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// Proxy is the entry and the exit side of one process.
type Proxy struct {
	options Options
	// table is never nil. Its version never goes down.
	table atomic.Pointer[table]
	// shareLease is the end of the lease of unproved versions, in Unix
	// nanoseconds.
	shareLease atomic.Int64
	// local is the target beside this proxy, nil until it is known.
	local atomic.Pointer[localTarget]
	// keepAlivesDisabled is true from a Leave on.
	keepAlivesDisabled atomic.Bool
	draining           atomic.Bool
	inFlight           inFlight
	peers              peerSet
	keys               keyStore
	suspects           suspectSet
	link               *route.Link
	spans              hopTracer
	// calls numbers the attempts, callPrefix sets them apart from those of
	// other proxies.
	calls      atomic.Uint64
	callPrefix string

	// updateMu orders Update and SetLocalTarget.
	updateMu sync.Mutex
	// upstreams holds the state of each target of the table by its id.
	upstreams map[string]*upstream
	// routes holds the state of each route by its name.
	routes map[string]*routeState
	// budgets holds the retry budget of each service by its name.
	budgets map[string]*route.Budget
	// healths holds the health of each service by its name.
	healths map[string]*route.Health
	callLog callLogLimits
	// targetCache is the targets over the lists of several sources.
	targetCache targetCache
}

// New returns a proxy with an empty configuration and no target.
func New(options Options) *Proxy {
	options.setDefaults()
	p := &Proxy{
		options:    options,
		callPrefix: strconv.FormatUint(xxhash.Sum64String(options.Instance)&0xffffffff, 36) + "-",
		upstreams:  make(map[string]*upstream),
		routes:     make(map[string]*routeState),
		budgets:    make(map[string]*route.Budget),
		healths:    make(map[string]*route.Health),
		callLog:    newCallLogLimits(),
		link:       route.NewLink(options.LinkRate),
	}
	p.spans = newHopTracer(options.Tracer)
	p.peers.init()
	p.suspects.init()
	p.keys.init(options.RecordsCompleteSince)
	p.table.Store(emptyTable())
	return p
}

// EntryHandler serves callers.
func (p *Proxy) EntryHandler() http.Handler { return http.HandlerFunc(p.serveEntry) }

// ExitHandler serves other proxies.
func (p *Proxy) ExitHandler() http.Handler { return http.HandlerFunc(p.serveExit) }

// SetShareLease allows the shares of unproved versions until the time. After
// it the proved version of a move takes all calls.
func (p *Proxy) SetShareLease(until time.Time) {
	p.shareLease.Store(until.UnixNano())
}

func (p *Proxy) isShareLeased(now time.Time) bool {
	return now.UnixNano() < p.shareLease.Load()
}

// nextCall returns a name for an attempt, unique among all proxies for as long
// as an answer can be late.
func (p *Proxy) nextCall() string {
	return p.callPrefix + strconv.FormatUint(p.calls.Add(1), 36)
}

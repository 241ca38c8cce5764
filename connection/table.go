package connection

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Estimates of what a connection or a request holds in bytes, besides what was received.
const (
	// connectionBytes is for the goroutines and the buffers of a connection.
	connectionBytes = 16 << 10
	// requestBytes is for a request that is being served.
	requestBytes = 16 << 10
	// streamBytes is for a stream of HTTP/2 before and while it is served.
	streamBytes = 32 << 10
)

const (
	// reserveFraction is the fraction of the budget that is reserved for each listener.
	reserveFraction = 1.0 / 16
	// outboundFraction is the largest fraction of the connections that the process may
	// open itself, inboundFraction that of those that it accepts.
	outboundFraction = 0.5
	inboundFraction  = 0.75
	// lowWater is the fraction of the budget down to which connections are closed once it is
	// used up, so that the search for them is rare.
	lowWater = 15.0 / 16
	// evictionShare is the share of the connections of a listener that are closed at once
	// to make room for new ones.
	evictionShare = 1.0 / 32
	// stuckPause is the time for which no connections to close are looked for after there
	// were none.
	stuckPause = 5 * time.Millisecond
	// maxLinesPerSecond bounds the log lines.
	maxLinesPerSecond = 1
)

// ErrLimit means that the budget is used up.
var ErrLimit = errors.New("the memory or the connections for clients are used up")

// Limits is the budget of a process.
type Limits struct {
	// MemoryBytes bounds the memory that clients make the process hold. It is greater
	// than zero.
	MemoryBytes int64
	// Connections bounds the open connections, accepted and opened. It is greater than
	// zero.
	Connections int
}

// Table holds the connections of a process and its budget for them.
type Table struct {
	limits  Limits
	logger  log.Logger
	lines   *rate.Limiter
	started time.Time

	// held is the sum of what all connections and retentions hold, leaving the part of it
	// that belongs to connections that were closed here and whose handlers have not ended.
	held, leaving atomic.Int64
	// garbage is what connections that were closed here held, since the last collection that
	// was run for it. isCollecting is true while one runs.
	garbage      atomic.Int64
	isCollecting atomic.Bool

	// listeners is the number of groups.
	listeners atomic.Int64
	// stuckAt is the last time at which no connection could be closed to free memory.
	stuckAt atomic.Int64

	mu     sync.Mutex
	groups []*group
	// inbound and outbound are the numbers of open connections.
	inbound, outbound int
}

// group is the connections of one listener.
type group struct {
	table *Table
	name  string
	// bodyLimit and idleTimeout are those of Options.
	bodyLimit   int64
	idleTimeout time.Duration
	metrics     groupMetrics
	held        atomic.Int64
	// leaving is that of Table for the connections of this listener.
	leaving atomic.Int64
	// conns holds the open connections. The mutex of the table guards it.
	conns map[*Conn]struct{}
}

// NewTable returns a table without connections.
func NewTable(limits Limits, logger log.Logger) *Table {
	return &Table{limits: limits, logger: logger, lines: rate.NewLimiter(maxLinesPerSecond, maxLinesPerSecond), started: time.Now()}
}

// Limits returns the budget.
func (t *Table) Limits() Limits { return t.limits }

// now returns the time since the table was created.
func (t *Table) now() time.Duration { return time.Since(t.started) }

// addGroup adds a listener.
func (t *Table) addGroup(options Options) *group {
	g := &group{
		table: t, name: options.Name, bodyLimit: options.BodyBytes, idleTimeout: options.IdleTimeout, metrics: newGroupMetrics(options.Name), conns: make(map[*Conn]struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups = append(t.groups, g)
	t.listeners.Store(int64(len(t.groups)))
	return g
}

// memoryLimit returns the bytes that the connections of one listener may hold, and
// connectionLimit their number: what the reserves of the other listeners leave.
func (t *Table) memoryLimit() int64 {
	return int64(t.share() * float64(t.limits.MemoryBytes))
}

func (t *Table) connectionLimit() int {
	return max(int(t.share()*inboundFraction*float64(t.limits.Connections)), 1)
}

// share returns the part of the budget that the reserves of the other listeners leave.
func (t *Table) share() float64 {
	return max(1-reserveFraction*float64(t.listeners.Load()-1), reserveFraction)
}

// reserve returns the number of connections that a listener may have although all others
// take theirs.
func (t *Table) reserve() int {
	return int(reserveFraction * inboundFraction * float64(t.limits.Connections))
}

// accept adds a connection that the listener has accepted. It closes others to make room,
// and returns nil if that is not possible.
func (t *Table) accept(g *group, inner net.Conn, protocol Protocol) *Conn {
	now := t.now()
	c := newConn(g, inner, protocol, now)
	t.mu.Lock()
	closed, isAccepted := t.makeRoom(now, g)
	if isAccepted {
		g.conns[c] = struct{}{}
		t.inbound++
		g.metrics.open.Set(float64(len(g.conns)))
	}
	t.mu.Unlock()
	closeAll(closed)
	if len(closed) > 0 {
		g.report(limitConnections, len(closed))
	}
	if !isAccepted {
		g.metrics.refused.Inc()
		g.report(limitConnections, 0)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold(connectionBytes)
	return c
}

// makeRoom chooses the connections to close so that the listener may have another one. It
// returns false if there are none. The caller holds the mutex.
func (t *Table) makeRoom(now time.Duration, g *group) (closed []*Conn, isRoom bool) {
	isGroupFull := len(g.conns) >= t.connectionLimit()
	isTableFull := t.inbound >= int(inboundFraction*float64(t.limits.Connections)) || t.inbound+t.outbound >= t.limits.Connections
	if !isGroupFull && !isTableFull {
		return nil, true
	}
	if closed = t.evictForRoom(now, g); len(closed) > 0 || isGroupFull {
		return closed, len(closed) > 0
	}
	var beyondReserve []*group
	for _, other := range t.groups {
		if len(other.conns) > t.reserve() {
			beyondReserve = append(beyondReserve, other)
		}
	}
	closed = t.evictForRoom(now, beyondReserve...)
	return closed, len(closed) > 0
}

// evictForRoom chooses a part of the connections of the listeners to close. The caller holds the
// mutex.
func (t *Table) evictForRoom(now time.Duration, groups ...*group) []*Conn {
	var candidates []candidate
	for _, g := range groups {
		candidates = g.appendCandidates(candidates)
	}
	closed := chooseForRoom(now, candidates, max(1, int(evictionShare*float64(len(candidates)))))
	for _, c := range closed {
		t.evict(c)
	}
	return closed
}

// appendCandidates appends the open connections with their states. The caller holds the mutex of
// the table.
func (g *group) appendCandidates(candidates []candidate) []candidate {
	for c := range g.conns {
		candidates = append(candidates, candidate{c.snapshot(), c})
	}
	return candidates
}

// evict removes a connection that is about to be closed. The caller holds the mutex.
func (t *Table) evict(c *Conn) {
	if _, isOpen := c.group.conns[c]; !isOpen {
		return
	}
	t.forget(c)
	c.beginEviction()
}

// forget removes an open connection. The caller holds the mutex.
func (t *Table) forget(c *Conn) {
	delete(c.group.conns, c)
	t.inbound--
	c.group.metrics.open.Set(float64(len(c.group.conns)))
}

// remove removes a connection that the server has closed.
func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, isOpen := c.group.conns[c]; isOpen {
		t.forget(c)
	}
}

// isFull reports whether everything together holds more than it may.
func (t *Table) isFull() bool { return t.held.Load()-t.leaving.Load() > t.limits.MemoryBytes }

// isFull reports whether the connections of the listener hold more than they may.
func (g *group) isFull() bool { return g.held.Load()-g.leaving.Load() > g.table.memoryLimit() }

// isOver reports whether the budget is used up for the listener, or for all if it is nil.
func (t *Table) isOver(g *group) bool { return t.isFull() || g != nil && g.isFull() }

// relieve closes connections until the budget is no longer used up for the listener, or for
// all if it is nil. It returns whether that succeeded.
func (t *Table) relieve(g *group) bool {
	now := t.now()
	if stuckAt := time.Duration(t.stuckAt.Load()); stuckAt > 0 && now-stuckAt < stuckPause {
		return !t.isOver(g)
	}
	t.mu.Lock()
	if !t.isOver(g) {
		t.mu.Unlock()
		return true
	}
	var excess int64
	var from []*group
	if g != nil && g.isFull() {
		excess, from = g.held.Load()-g.leaving.Load()-int64(lowWater*float64(t.memoryLimit())), []*group{g}
	}
	if t.isFull() {
		excess = max(excess, t.held.Load()-t.leaving.Load()-int64(lowWater*float64(t.limits.MemoryBytes)))
		from = t.groups
	}
	var candidates []candidate
	reserved := int64(reserveFraction * float64(t.limits.MemoryBytes))
	for _, other := range from {
		if other != g && other.held.Load()-other.leaving.Load() <= reserved {
			continue
		}
		candidates = other.appendCandidates(candidates)
	}
	closed := chooseForMemory(now, candidates, excess)
	for _, c := range closed {
		t.evict(c)
	}
	isRelieved := !t.isOver(g)
	t.mu.Unlock()
	if len(closed) == 0 {
		t.stuckAt.Store(int64(now))
	}
	closeAll(closed)
	if len(closed) > 0 {
		closed[0].group.report(limitMemory, len(closed))
	}
	return isRelieved
}

// collectFraction is the fraction of the memory up to which garbage of closed connections is
// left to the runtime.
const collectFraction = 1.0 / 4

// AddGarbage records that a connection that was closed, or a request that was refused, has
// released bytes. The runtime would collect them only after as much was allocated again, which is
// more than there is for clients. On a nil Table it does nothing.
func (t *Table) AddGarbage(bytes int64) {
	if t == nil || t.garbage.Add(bytes) <= int64(collectFraction*float64(t.limits.MemoryBytes)) || !t.isCollecting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		collected := t.garbage.Load()
		runtime.GC()
		t.garbage.Add(-collected)
		t.isCollecting.Store(false)
	}()
}

// closeAll closes the sockets. The servers notice that and release what the connections
// hold.
func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// report counts what was closed and logs it at a limited rate.
func (g *group) report(limit string, closed int) {
	if limit == limitMemory {
		g.metrics.closedForMemory.Add(closed)
	} else {
		g.metrics.closedForRoom.Add(closed)
	}
	if !g.table.lines.Allow() {
		return
	}
	g.table.mu.Lock()
	open, inbound, outbound := len(g.conns), g.table.inbound, g.table.outbound
	g.table.mu.Unlock()
	_ = g.table.logger.Log("event", "clients_limited", "listener", g.name, "limit", limit, "closed", closed, "open", open,
		"inbound", inbound, "outbound", outbound, "connections_limit", g.table.limits.Connections,
		"held_bytes", g.held.Load(), "total_bytes", g.table.held.Load(), "memory_limit_bytes", g.table.limits.MemoryBytes)
}

// Open reserves a connection that the process opens itself. The returned function releases it
// and must be called once the connection is closed. The error is ErrLimit.
func (t *Table) Open() (release func(), err error) {
	if t == nil {
		return func() {}, nil
	}
	t.mu.Lock()
	isFull := t.outbound >= int(outboundFraction*float64(t.limits.Connections)) || t.inbound+t.outbound >= t.limits.Connections
	if !isFull {
		t.outbound++
		openedConnections.Set(float64(t.outbound))
	}
	t.mu.Unlock()
	if isFull {
		opensRefused.Inc()
		return nil, ErrLimit
	}
	t.held.Add(connectionBytes)
	return sync.OnceFunc(func() {
		t.held.Add(-connectionBytes)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.outbound--
		openedConnections.Set(float64(t.outbound))
	}), nil
}

// ErrTooLarge means that something takes more memory than the budget ever has.
var ErrTooLarge = errors.New("it takes more memory than clients have")

// Hold changes what the process holds for its clients apart from their connections, such as
// records of their requests, which can't be closed. On a nil Table it does nothing.
func (t *Table) Hold(delta int64) {
	if t != nil {
		t.held.Add(delta)
	}
}

// MemoryShare returns the given fraction of the memory for clients, and the fallback on a nil
// Table.
func (t *Table) MemoryShare(fraction float64, fallback int64) int64 {
	if t == nil {
		return fallback
	}
	return int64(fraction * float64(t.limits.MemoryBytes))
}

// Retain draws bytes from the budget until the returned function is called. The error is
// ErrLimit or ErrTooLarge. On a nil Table it does nothing.
func (t *Table) Retain(bytes int64) (release func(), err error) {
	if t == nil {
		return func() {}, nil
	}
	if bytes > t.limits.MemoryBytes {
		return nil, ErrTooLarge
	}
	t.held.Add(bytes)
	if t.isFull() && !t.relieve(nil) {
		t.held.Add(-bytes)
		t.AddGarbage(bytes)
		return nil, ErrLimit
	}
	return sync.OnceFunc(func() { t.held.Add(-bytes) }), nil
}

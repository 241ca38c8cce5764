package connection

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Stage is what a connection is doing.
type Stage int

// Values of Stage.
const (
	// StageHead means that a request or a message has not arrived as a whole, or that nothing
	// has arrived on a new connection.
	StageHead Stage = iota
	// StageBody means that the body of a request that is being served has not arrived as a
	// whole.
	StageBody
	// StageServing means that a request that has arrived is being served.
	StageServing
	// StageIdle means that the last request is done and no byte of another one has arrived.
	StageIdle
)

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	group    *group
	protocol Protocol
	// writingSince is the time at which the write in progress began, 0 without one.
	writingSince atomic.Int64
	// isHTTP2 is true once the client has begun HTTP/2.
	isHTTP2 atomic.Bool

	mu    sync.Mutex
	stage Stage
	// since is the time of the last change of the stage, or of the last received byte of a
	// body. began is the time at which the request began.
	since, began time.Duration
	// held is the number of bytes that the connection draws from the budget.
	held int64
	// received meters what has arrived of HTTP. message is what a message between processes
	// holds, kept what Keep has recorded, and retained the sum of what Retain has drawn.
	received                meter
	message, kept, retained int64
	// writing is the size of the write in progress, if it is a large one.
	writing int64
	// serving is the number of requests that are being served, more than one only with
	// HTTP/2.
	serving int
	// isEvicted is true once the table has closed the connection, isClosed once its server
	// has. isReleased is true once it holds nothing any more.
	isEvicted, isClosed, isReleased bool
}

// snapshot is the state of a connection by which the table chooses what to close.
type snapshot struct {
	protocol     Protocol
	stage        Stage
	since, began time.Duration
	// writingSince is 0 unless a write is in progress.
	writingSince  time.Duration
	held          int64
	isMultiplexed bool
}

func newConn(g *group, inner net.Conn, protocol Protocol, now time.Duration) *Conn {
	return &Conn{Conn: inner, group: g, protocol: protocol, since: now, began: now}
}

func (c *Conn) snapshot() snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return snapshot{
		protocol: c.protocol, stage: c.stage, since: c.since, began: c.began, writingSince: time.Duration(c.writingSince.Load()),
		held: c.held, isMultiplexed: c.isHTTP2.Load(),
	}
}

// hold changes what the connection draws from the budget. The caller holds the mutex.
func (c *Conn) hold(delta int64) {
	c.held += delta
	c.group.held.Add(delta)
	c.group.table.held.Add(delta)
	if c.isEvicted {
		c.group.leaving.Add(delta)
		c.group.table.leaving.Add(delta)
	}
}

// setStage changes the stage. The caller holds the mutex.
func (c *Conn) setStage(now time.Duration, stage Stage) {
	c.stage, c.since = stage, now
}

// beginEviction marks a connection that the table is about to close.
func (c *Conn) beginEviction() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isEvicted = true
	c.group.leaving.Add(c.held)
	c.group.table.leaving.Add(c.held)
}

// Read implements net.Conn. It fails once the connection holds more than the budget allows.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.protocol != HTTP {
		return n, err
	}
	now := c.group.table.now()
	c.mu.Lock()
	if c.stage == StageIdle && !c.isHTTP2.Load() {
		c.setStage(now, StageHead)
		c.began = now
	}
	if c.stage == StageBody {
		c.since = now
	}
	delta := c.received.add(b[:n], c.stage, c.group.bodyLimit)
	if c.received.streams != nil && !c.isHTTP2.Load() {
		c.isHTTP2.Store(true)
		c.setStage(now, StageIdle)
	}
	c.hold(delta)
	isLarge := c.held > connectionBytes+smallRequest
	c.mu.Unlock()
	if delta <= 0 {
		return n, err
	}
	if !c.settle() && isLarge {
		return 0, ErrLimit
	}
	c.awaitRelease()
	if c.hasBeenEvicted() {
		return 0, ErrLimit
	}
	return n, err
}

// smallRequest is what a request may hold although no memory is left that can be freed. Its
// handler then refuses it.
const smallRequest = 8 << 10

// settle closes connections if the budget is used up. It returns false if this one is closed,
// or if none can be closed.
func (c *Conn) settle() bool {
	t := c.group.table
	if t.isOver(c.group) && !t.relieve(c.group) {
		return false
	}
	return !c.hasBeenEvicted()
}

const (
	// leavingFraction is the fraction of the memory that closed connections may still hold, or
	// have released as garbage, before others stop reading.
	leavingFraction = 3.0 / 8
	// leavingPoll is the time between two looks at it, maxLeavingWait the longest wait.
	leavingPoll    = 2 * time.Millisecond
	maxLeavingWait = 500 * time.Millisecond
)

// awaitRelease waits while closed connections still hold much, or what they held is not
// collected, since what others read would fill the memory before it is free.
func (c *Conn) awaitRelease() {
	t := c.group.table
	most := int64(leavingFraction * float64(t.limits.MemoryBytes))
	for waited := time.Duration(0); t.leaving.Load()+t.garbage.Load() > most && waited < maxLeavingWait && !c.hasBeenEvicted(); waited += leavingPoll {
		time.Sleep(leavingPoll)
	}
}

func (c *Conn) hasBeenEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isEvicted
}

// heldWrite is the size of a write from which on it draws from the budget. Smaller ones are
// those of buffers that connectionBytes covers.
const heldWrite = 8 << 10

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writingSince.Store(int64(c.group.table.now()))
	if len(b) >= heldWrite {
		c.holdWrite(int64(len(b)))
	}
	n, err := c.Conn.Write(b)
	c.writingSince.Store(0)
	if len(b) < heldWrite && !c.isHTTP2.Load() {
		return n, err
	}
	if len(b) >= heldWrite {
		c.holdWrite(-int64(len(b)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isReleased {
		c.hold(c.received.sent(b[:n]))
	}
	return n, err
}

func (c *Conn) holdWrite(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing += bytes
	c.hold(bytes)
}

// SetReadDeadline implements net.Conn. An idle connection without a deadline gets that of
// Options.IdleTimeout.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && c.group.idleTimeout > 0 && c.isIdle() {
		t = time.Now().Add(c.group.idleTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// isIdle reports whether a connection of HTTP/1.1 is idle.
func (c *Conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stage == StageIdle && !c.isHTTP2.Load()
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with what is not sent yet, as that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errNoSocket
}

var errNoSocket = errors.New("the connection is not a socket")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoSocket
}

// Close implements net.Conn. What the connection holds draws from the budget until the requests
// that are still served have ended, since each of them refers to all streams of a connection of
// HTTP/2.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.group.table.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	c.releaseIfDone()
	return err
}

// releaseIfDone releases what the connection holds, but for what Retain and Write have drawn, if it
// is closed and serves no request. The caller holds the mutex.
func (c *Conn) releaseIfDone() {
	if !c.isClosed || c.serving > 0 || c.isReleased {
		return
	}
	c.isReleased = true
	if c.isEvicted {
		c.group.table.AddGarbage(c.held)
	}
	c.hold(c.retained + c.writing - c.held)
}

// SetState records a change of the state by the HTTP server. It is called by the server's
// ConnState hook. The stage of a connection of HTTP/2 is that of its requests.
func (c *Conn) SetState(state http.ConnState) {
	if state != http.StateIdle || c.isHTTP2.Load() {
		return
	}
	now := c.group.table.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setStage(now, StageIdle)
	if !c.isReleased {
		c.hold(c.received.reset())
	}
}

// beginRequest records that a request whose head takes the given memory begins to be served. It
// returns false if there is no memory for it.
func (c *Conn) beginRequest(r *http.Request, head int64) bool {
	now := c.group.table.now()
	c.mu.Lock()
	c.serving++
	if c.serving == 1 {
		c.began = now
		c.setStage(now, StageServing)
		if r.ContentLength != 0 && !c.isHTTP2.Load() {
			c.setStage(now, StageBody)
		}
	}
	c.hold(requestBytes)
	if !c.isReleased {
		c.hold(c.received.begin(head))
	}
	c.mu.Unlock()
	return c.settle()
}

// endRequest records the end of a request for which beginRequest was called.
func (c *Conn) endRequest(head int64) {
	now := c.group.table.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving--
	c.hold(-requestBytes)
	if !c.isReleased {
		c.hold(c.received.end(head))
	}
	if c.isHTTP2.Load() && c.serving == 0 {
		c.setStage(now, StageIdle)
	}
	c.releaseIfDone()
}

// bodyEnded records that the body of a request has arrived.
func (c *Conn) bodyEnded() {
	now := c.group.table.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == StageBody {
		c.setStage(now, StageServing)
	}
}

// consumed records that a handler has read bytes of a body.
func (c *Conn) consumed(n int) {
	if !c.isHTTP2.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isReleased {
		c.hold(c.received.consumed(int64(n)))
	}
}

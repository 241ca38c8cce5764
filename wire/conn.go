package wire

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/hornbeamwell/hornbeamwell/connection"
)

var (
	bytesReceived = metrics.NewCounter("hornbeamwell_wire_received_bytes_total")
	bytesSent     = metrics.NewCounter("hornbeamwell_wire_sent_bytes_total")
)

// timedConn limits the time without progress of a write and counts the bytes of the
// connection.
type timedConn struct {
	net.Conn
	// socket is nil if the connection is not a socket.
	socket syscall.RawConn
	// budget is nil if the memory of the messages has no bound.
	budget         *connection.Conn
	received, sent atomic.Uint64
	// handled is the number of received bytes whose messages have been handled.
	handled atomic.Uint64
	// isHandling is true while a message that was read to its end is handled.
	isHandling atomic.Bool
}

func newTimedConn(c net.Conn) *timedConn {
	timed := &timedConn{Conn: c}
	timed.budget, _ = c.(*connection.Conn)
	if socket, isSocket := c.(syscall.Conn); isSocket {
		timed.socket, _ = socket.SyscallConn()
	}
	return timed
}

// beginMessage is called before a message is read, after the one before it has been
// handled. The last buffered of the received bytes belong to later messages.
func (c *timedConn) beginMessage(buffered int) {
	c.handled.Store(c.received.Load() - uint64(buffered))
	c.isHandling.Store(false)
	if c.budget != nil {
		c.budget.AwaitMessage()
	}
}

// receivePart is called after a part of a message has arrived that takes the given memory.
func (c *timedConn) receivePart(bytes int64) error {
	if c.budget == nil {
		return nil
	}
	return c.budget.ReceiveMessage(bytes)
}

// beginHandling is called before a message that has arrived is decoded.
func (c *timedConn) beginHandling(data []byte) error {
	c.isHandling.Store(true)
	if c.budget == nil {
		return nil
	}
	return c.budget.HandleMessage(connection.DocumentBytes(data))
}

// retain is called before a message is sent. The returned function is called after it.
func (c *timedConn) retain(bytes int) (release func(), err error) {
	if c.budget == nil || bytes < retainedBytes {
		return func() {}, nil
	}
	return c.budget.Retain(int64(bytes))
}

// retainedBytes is the size from which on a message that is sent draws from the budget.
const retainedBytes = 8 << 10

// hasBacklog reports whether the kernel holds bytes that have not been read, or a message
// is being handled.
func (c *timedConn) hasBacklog() bool {
	return c.socket != nil && Poll(c.socket, unix.POLLIN) || c.isHandling.Load()
}

// Read implements net.Conn and counts the bytes read.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	bytesReceived.Add(n)
	return n, err
}

// Write implements net.Conn. It fails if a part of writeChunkBytes takes longer than
// writeTimeout, so that a large message on a slow link is not ended while it makes progress.
func (c *timedConn) Write(b []byte) (int, error) {
	for written := 0; ; {
		n, err := c.writeChunk(b[written:min(written+writeChunkBytes, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *timedConn) writeChunk(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	bytesSent.Add(n)
	return n, err
}

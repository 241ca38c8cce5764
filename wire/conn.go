package wire

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
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
	socket         syscall.RawConn
	received, sent atomic.Uint64
	// handled is the number of received bytes whose messages have been handled.
	handled atomic.Uint64
	// isHandling is true while a message that was read to its end is handled.
	isHandling atomic.Bool
}

func newTimedConn(c net.Conn) *timedConn {
	timed := &timedConn{Conn: c}
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
}

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

package wire

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	bytesReceived = metrics.NewCounter("hornbeamwell_wire_received_bytes_total")
	bytesSent     = metrics.NewCounter("hornbeamwell_wire_sent_bytes_total")
)

// timedConn limits each write to writeTimeout and counts the bytes of the
// connection.
type timedConn struct {
	net.Conn
	received, sent atomic.Uint64
}

// Read implements net.Conn and counts the bytes read.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	bytesReceived.Add(n)
	return n, err
}

// Write implements net.Conn. It fails after writeTimeout and counts the bytes
// written.
func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	bytesSent.Add(n)
	return n, err
}

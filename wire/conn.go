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

// timedConn bounds each write by writeTimeout and counts bytes.
type timedConn struct {
	net.Conn
	received, sent atomic.Uint64
}

// Read reads bytes and counts them.
func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	bytesReceived.Add(n)
	return n, err
}

// Write writes the bytes or fails after writeTimeout.
func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	bytesSent.Add(n)
	return n, err
}

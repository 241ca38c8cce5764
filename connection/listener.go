package connection

import (
	"net"
	"time"
)

// Protocol is the protocol of a listener.
type Protocol int

// Values of Protocol.
const (
	// HTTP is HTTP/1.1, or HTTP/2 without TLS.
	HTTP Protocol = iota
	// Messages is the protocol between processes, see package wire.
	Messages
)

// listener adds the connections that it accepts to a table.
type listener struct {
	net.Listener
	group    *group
	protocol Protocol
}

// Options are the options of a listener.
type Options struct {
	// Name is the name of the listener in metrics and log lines.
	Name     string
	Protocol Protocol
	// BodyBytes is the largest part of a request body that the handlers hold, 0 if they
	// read it as a whole.
	BodyBytes int64
	// IdleTimeout is the time after which an idle connection of HTTP/1.1 is closed, 0 for
	// that of its server. A server of HTTP/2 must not have one, as net/http keeps a
	// connection with its unread bodies for the idle timeout after it was closed.
	IdleTimeout time.Duration
}

// Listen returns a listener whose connections are bounded by the table.
func (t *Table) Listen(inner net.Listener, options Options) net.Listener {
	return &listener{Listener: inner, group: t.addGroup(options), protocol: options.Protocol}
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.group.table.accept(l.group, inner, l.protocol); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

package proxy

import (
	"net/http"
	"time"

	"github.com/hornbeamwell/hornbeamwell/connection"
)

const (
	// headerReadTimeout bounds the time to read the headers of a request.
	headerReadTimeout = 5 * time.Second
	// CallerIdleTimeout is the time after which an idle connection of a caller is to be
	// closed. The listener of EntryServer does that, see connection.Options.
	CallerIdleTimeout = 2 * time.Minute
	// peerIdleTimeout closes an idle connection of another proxy. It is longer
	// than poolIdleTimeout, so that the other proxy no longer reuses a
	// connection that is closed here.
	peerIdleTimeout = 2 * time.Minute
	// streamsPerConnection bounds the concurrent calls of one HTTP/2
	// connection.
	streamsPerConnection = connection.MaxStreams
	// pingAfter is the idle time after which a caller's HTTP/2 connection is
	// probed, and the time without progress of a write after which it is closed.
	// pingTimeout is the time allowed for the reply to a probe.
	pingAfter   = 15 * time.Second
	pingTimeout = 5 * time.Second
	// streamWindow bounds the buffered bytes of one request body,
	// connectionWindow those of one connection.
	streamWindow     = 256 << 10
	connectionWindow = connection.ConnectionWindow
)

// EntryServer returns the server for callers. It accepts HTTP/1.1 and HTTP/2
// without TLS.
func (p *Proxy) EntryServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:     p.EntryHandler(),
		ConnContext: withConnection,
		// The handler receives "OPTIONS *" too and refuses it, because its path
		// does not begin with a slash.
		DisableGeneralOptionsHandler: true,
		Protocols:                    &protocols,
		ReadHeaderTimeout:            headerReadTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		HTTP2:                        serverHTTP2(),
	}
}

// ExitServer returns the server for other proxies. It accepts only HTTP/1.1.
func (p *Proxy) ExitServer() *http.Server {
	return &http.Server{
		Handler:           p.ExitHandler(),
		ConnContext:       withEntryConnection,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func serverHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          streamsPerConnection,
		SendPingTimeout:               pingAfter,
		PingTimeout:                   pingTimeout,
		WriteByteTimeout:              pingAfter,
		MaxReceiveBufferPerStream:     streamWindow,
		MaxReceiveBufferPerConnection: connectionWindow,
		MaxReadFrameSize:              connection.FrameBytes,
	}
}

// MaxHeldBody is the largest part of a request body that the proxy holds: a body that is read
// before the call is sent, or the buffers through which a larger one is sent on.
const MaxHeldBody = maxBufferedBody + 32<<10

// RefuseCall refuses a caller's call for which there is no memory.
func (p *Proxy) RefuseCall(w http.ResponseWriter, r *http.Request) {
	refused := notRun(http.StatusServiceUnavailable, ReasonMemory, defaultRetryAfter).forKey(r).withJitter(p.options.Rand)
	p.logUnsent(p.options.Now(), r, nil, refused)
	refused.write(w, p.options.HeaderCodec)
}

// RefuseAttempt refuses a request of another proxy for which there is no memory.
func (p *Proxy) RefuseAttempt(w http.ResponseWriter, r *http.Request) {
	e, _ := parseEnvelope(headerValue(r.Header, headerCall))
	if number, hasNumber := r.Header[headerNumber]; hasNumber {
		w.Header()[headerNumber] = number
	}
	p.refuseAtExit(w, e.id, notRun(http.StatusServiceUnavailable, ReasonMemory, defaultRetryAfter))
}

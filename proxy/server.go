package proxy

import (
	"net/http"
	"time"
)

const (
	// headerReadTimeout bounds the time that a caller takes for its headers.
	headerReadTimeout = 5 * time.Second
	// callerIdleTimeout closes a caller's connection without a call.
	callerIdleTimeout = 2 * time.Minute
	// peerIdleTimeout closes another proxy's connection without a call. It is
	// longer than idleLifetime, so that the other side closes first.
	peerIdleTimeout = 2 * time.Minute
	// streamsPerConnection bounds the calls of one HTTP/2 connection.
	streamsPerConnection = 1000
	// pingAfter is the silence on a caller's HTTP/2 connection after which it
	// is probed, pingTimeout the time that the probe may take.
	pingAfter   = 15 * time.Second
	pingTimeout = 5 * time.Second
	// streamWindow bounds the bytes of one request body that wait in a proxy,
	// connectionWindow those of one connection.
	streamWindow     = 256 << 10
	connectionWindow = 4<<20 - 1
)

// EntryServer returns the server for callers: HTTP/1.1 and HTTP/2 cleartext.
func (p *Proxy) EntryServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: p.EntryHandler(),
		// A request for no path is refused like any other without a route.
		DisableGeneralOptionsHandler: true,
		Protocols:                    &protocols,
		ReadHeaderTimeout:            headerReadTimeout,
		IdleTimeout:                  callerIdleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		HTTP2:                        serverHTTP2(),
	}
}

// ExitServer returns the server for other proxies: HTTP/1.1 alone.
func (p *Proxy) ExitServer() *http.Server {
	return &http.Server{
		Handler:           p.ExitHandler(),
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
	}
}

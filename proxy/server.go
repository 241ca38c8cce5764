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
	// streamsPerConnection bounds the calls of one connection between proxies.
	streamsPerConnection = 1000
	// serverPingAfter is the silence after which a server probes a connection.
	// It is longer than that of the client, which has calls to lose.
	serverPingAfter = 15 * time.Second
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

// ExitServer returns the server for other proxies: HTTP/2 cleartext alone.
func (p *Proxy) ExitServer() *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           p.ExitHandler(),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             serverHTTP2(),
	}
}

func serverHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          streamsPerConnection,
		SendPingTimeout:               serverPingAfter,
		PingTimeout:                   pingTimeout,
		WriteByteTimeout:              serverPingAfter,
		MaxReceiveBufferPerStream:     streamWindow,
		MaxReceiveBufferPerConnection: connectionWindow,
	}
}

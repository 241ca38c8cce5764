package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

const (
	// maxExpedited bounds the attempts that one request names, whose header is bounded.
	maxExpedited = 200
	// expediteTimeout bounds a request that names attempts, including the dial.
	expediteTimeout = time.Second
)

// expediteSent tells the exit proxies of the attempts that were sent before the stop by
// when their responses have to be sent. A request that fails changes nothing.
func (p *Proxy) expediteSent(schedule *route.Stop) {
	now := p.options.Now()
	ctx, cancel := context.WithTimeout(context.Background(), expediteTimeout)
	defer cancel()
	attempts := p.stopping.sentByPeer()
	if len(attempts) == 0 {
		return
	}
	var count, failed atomic.Int64
	var sent sync.WaitGroup
	slots := make(chan struct{}, maxWithdrawals)
	for peer, ids := range attempts {
		for len(ids) > 0 {
			named := ids[:min(len(ids), maxExpedited)]
			ids = ids[len(named):]
			slots <- struct{}{}
			sent.Go(func() {
				defer func() { <-slots }()
				count.Add(int64(len(named)))
				if err := p.requestExpedite(ctx, peer, named); err != nil {
					failed.Add(int64(len(named)))
				}
			})
		}
	}
	sent.Wait()
	_ = p.options.Logger.Log("event", "calls_expedited", "attempts", count.Load(), "failed", failed.Load(),
		"since_signal_ms", now.Sub(schedule.Began).Milliseconds(), "ms", p.options.Now().Sub(now).Milliseconds())
}

// sentByPeer returns the ids of the attempts without a response.
func (s *stopping) sentByPeer() map[*peer][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make(map[*peer][]string)
	for a := range s.attempts {
		ids[a.upstream.peer] = append(ids[a.upstream.peer], a.id)
	}
	return ids
}

func (p *Proxy) requestExpedite(ctx context.Context, peer *peer, ids []string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.pool.address+"/", nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	connection, err := peer.pool.open(ctx, p.options.Now())
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	request.Header[headerExpedite] = ids
	p.setSendByHeader(p.options.Now(), request.Header)
	response, err := connection.client.RoundTrip(request)
	if err != nil {
		connection.discard()
		return fmt.Errorf("send request: %w", err)
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
	_ = response.Body.Close()
	connection.finish(p.options.Now())
	return nil
}

// serveExpedite records that the entry proxy of the named attempts stops. Attempts that
// have ended or not arrived are passed over.
func (p *Proxy) serveExpedite(w http.ResponseWriter, r *http.Request) {
	left, valid := parseDuration(headerValue(r.Header, headerSendBy))
	if !valid {
		p.refuseAtExit(w, "", notRun(http.StatusBadRequest, ReasonBadRequest, 0))
		return
	}
	ids, found := r.Header[headerExpedite], 0
	sendBy := p.options.Now().Add(left)
	for _, id := range ids {
		if call := p.attemptRecords.callOf(id); call != nil {
			call.setSendBy(sendBy)
			found++
		}
	}
	_ = p.options.Logger.Log("event", "entry_stop_noticed", "attempts", len(ids), "found", found, "left_ms", left.Milliseconds())
	w.WriteHeader(http.StatusNoContent)
}

// callOf returns the call of an attempt that is being served, nil if there is none.
func (r *attemptRegistry) callOf(id string) *exitCall {
	key, valid := parseAttemptID(id)
	if !valid {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.attempts[key]; record != nil {
		return record.call
	}
	return nil
}

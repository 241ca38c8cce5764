package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// announcePeriod is the time between two announcements.
	announcePeriod = time.Second
	// announceTimeout bounds one announcement or withdrawal.
	announceTimeout = 2 * time.Second
	// retryPeriod is the time until the next announcement while the proxy does not
	// accept them.
	retryPeriod = 100 * time.Millisecond
)

// announcement is the body of an announcement request.
type announcement struct {
	Service     string `json:"service"`
	Version     string `json:"version"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	HealthURL   string `json:"health_url"`
	ColdStart   string `json:"cold_start"`
	Incarnation uint64 `json:"incarnation"`
}

// announceLoop announces the target and renews the announcement until the
// context ends. It logs each change between accepted and refused.
func (t *Target) announceLoop(ctx context.Context) {
	if !t.options.Announce.IsValid() {
		return
	}
	accepted := false
	for {
		err := t.announce(ctx)
		if ctx.Err() != nil {
			return
		}
		if accepted != (err == nil) {
			accepted = err == nil
			_ = t.options.Logger.Log("event", "announcement", "taken", accepted, "err", err)
		}
		period := announcePeriod
		if !accepted {
			period = retryPeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
		}
	}
}

func (t *Target) announce(ctx context.Context) error {
	address := t.Address()
	if t.options.Advertise.IsValid() {
		address = t.options.Advertise
	}
	body, err := json.Marshal(announcement{
		Service:     t.options.Service,
		Version:     t.options.Version,
		Address:     address.String(),
		Slots:       t.options.Slots,
		Connections: t.options.Connections,
		HealthURL:   "http://" + address.String() + PathHealth,
		ColdStart:   t.options.ColdStart.String(),
		Incarnation: t.incarnation,
	})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	return t.sendToProxy(ctx, http.MethodPut, body)
}

// withdraw asks the target's proxy to send no new calls.
func (t *Target) withdraw(ctx context.Context) error {
	if !t.options.Announce.IsValid() {
		return nil
	}
	if err := t.sendToProxy(ctx, http.MethodDelete, nil); err != nil {
		return err
	}
	t.withdrawnAt.Store(time.Now().UnixNano())
	return nil
}

func (t *Target) sendToProxy(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + t.options.Announce.String() + "/v1/target"
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build announcement request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send announcement request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	message, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return fmt.Errorf("read response of the proxy: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("proxy refused the announcement request with %s: %s", resp.Status, bytes.TrimSpace(message))
	}
	return nil
}

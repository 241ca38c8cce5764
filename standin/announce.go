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
	// renewPeriod is the time between two announcements.
	renewPeriod = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = 2 * time.Second
	// firstAnnouncePeriod is the time between announcements until the first
	// one is taken.
	firstAnnouncePeriod = 100 * time.Millisecond
)

// announcement is the body of an announcement.
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

// announceUntil announces the target and renews until the context ends. A log
// line marks each change between taken and refused.
func (t *Target) announceUntil(ctx context.Context) {
	if !t.options.Announce.IsValid() {
		return
	}
	taken := false
	for {
		err := t.announce(ctx)
		if ctx.Err() != nil {
			return
		}
		if taken != (err == nil) {
			taken = err == nil
			_ = t.options.Logger.Log("event", "announcement", "taken", taken, "err", err)
		}
		period := renewPeriod
		if !taken {
			period = firstAnnouncePeriod
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
	return t.tellProxy(ctx, http.MethodPut, body)
}

// withdraw asks the proxy beside the target for no new work.
func (t *Target) withdraw(ctx context.Context) error {
	if !t.options.Announce.IsValid() {
		return nil
	}
	if err := t.tellProxy(ctx, http.MethodDelete, nil); err != nil {
		return err
	}
	t.withdrawnAt.Store(time.Now().UnixNano())
	return nil
}

func (t *Target) tellProxy(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + t.options.Announce.String() + "/v1/target"
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build announcement: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announce to the proxy: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return fmt.Errorf("read the proxy's answer: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the proxy answered %s: %s", resp.Status, bytes.TrimSpace(answer))
	}
	return nil
}

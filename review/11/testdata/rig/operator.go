package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// operatorTimeout is the time after which an operator moves on to another node: a second, more
// for large bodies.
const operatorTimeout = 2 * time.Second

// serviceSplit is one part of a route's TrafficSplit.
type serviceSplit struct {
	Service string
	Weight  float64
}

// routeDocument and serviceDocument are parts of a configuration.
type routeDocument struct {
	Host, PathPrefix, Kind, Timeout, TargetLatency string
	Priority                                       int
	Service                                        string         `json:",omitempty"`
	TrafficSplit                                   []serviceSplit `json:",omitempty"`
	MaxAttempts                                    int
}

type serviceDocument struct {
	HealthPath     string
	MaxConnections int
	Protocol       string
	Tls            bool
}

// configuration is a complete configuration.
type configuration struct {
	Version  int
	Routes   map[string]routeDocument
	Services map[string]serviceDocument
	Limits   struct {
		MaxHeaderBytes, MaxBodyBytes int
		HeaderTimeout, IdleTimeout   string
	}
}

func newConfiguration(version int, services ...string) *configuration {
	c := &configuration{Version: version, Routes: map[string]routeDocument{}, Services: map[string]serviceDocument{}}
	for _, name := range services {
		c.Services[name] = serviceDocument{HealthPath: "/health", MaxConnections: 110, Protocol: "h1"}
	}
	c.Limits.MaxHeaderBytes, c.Limits.MaxBodyBytes = 16384, 67108864
	c.Limits.HeaderTimeout, c.Limits.IdleTimeout = "3000ms", "15000ms"
	return c
}

// operator sends orders as the pages describe it.
type operator struct {
	record *record
	client *http.Client
}

func newOperator(r *record) *operator {
	return &operator{record: r, client: &http.Client{
		Timeout:       operatorTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// response is the response to an order.
type response struct {
	status   int
	location string
	body     []byte
}

func (o *operator) send(ctx context.Context, method, url string, base int, body []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Base-Version", strconv.Itoa(base))
	}
	r, err := o.client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = r.Body.Close() }()
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return response{}, err
	}
	return response{status: r.StatusCode, location: r.Header.Get("Location"), body: content}, nil
}

// sendFollowing is send that follows a redirect twice.
func (o *operator) sendFollowing(ctx context.Context, method, url string, base int, body []byte) (response, error) {
	for redirects := 0; ; redirects++ {
		r, err := o.send(ctx, method, url, base, body)
		if err != nil || r.status != http.StatusTemporaryRedirect || redirects == 2 {
			return r, err
		}
		url = r.location
	}
}

// replace sends a configuration to the nodes in turn until one acknowledges it, for at most the
// limit. It returns the time until the acknowledgement.
func (o *operator) replace(ctx context.Context, nodes []*node, c *configuration, base int, limit time.Duration) (time.Duration, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	last := errors.New("no node was asked")
	for i := 0; time.Since(began) < limit; i++ {
		n := nodes[i%len(nodes)]
		r, err := o.sendFollowing(ctx, http.MethodPost, "http://"+n.address(portControl)+"/config/replace", base, body)
		switch {
		case err != nil:
			last = err
		case r.status == http.StatusOK:
			o.record.add("configuration %d acknowledged by way of %s after %d ms", c.Version, n.name, time.Since(began).Milliseconds())
			return time.Since(began), nil
		case r.status == http.StatusBadRequest || r.status == http.StatusPreconditionFailed:
			return 0, fmt.Errorf("configuration %d refused with %d: %s", c.Version, r.status, r.body)
		default:
			last = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("configuration %d not acknowledged within %s: %w", c.Version, limit, last)
}

// readVersion reads the configuration from a node and returns its version.
func (o *operator) readVersion(ctx context.Context, n *node) (int, error) {
	r, err := o.sendFollowing(ctx, http.MethodGet, "http://"+n.address(portControl)+"/config/get", 0, nil)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", r.status, strings.TrimSpace(string(r.body)))
	}
	var c configuration
	if err := json.Unmarshal(r.body, &c); err != nil {
		return 0, err
	}
	return c.Version, nil
}

// leader returns the node that the others redirect orders to, nil if there is none.
func (o *operator) leader(ctx context.Context, nodes []*node) *node {
	for _, n := range nodes {
		r, err := o.send(ctx, http.MethodPost, "http://"+n.address(portControl)+"/config/replace", 0, []byte("{"))
		if err != nil {
			continue
		}
		if r.status == http.StatusBadRequest {
			return n
		}
		for _, other := range nodes {
			if r.status == http.StatusTemporaryRedirect && strings.Contains(r.location, "//"+other.address(portControl)+"/") {
				return other
			}
		}
	}
	return nil
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// outcome is how a client's request ended.
type outcome struct {
	id, path string
	// status is 0 if there is no response.
	status   int
	isSigned bool
	err      error
	elapsed  time.Duration
}

func (o outcome) String() string {
	return fmt.Sprintf("request %s %s: status %d, signed %v, after %d ms, error %v", o.id, o.path, o.status, o.isSigned, o.elapsed.Milliseconds(), o.err)
}

// ask sends one client attempt to the sidecar on a connection of its own.
func ask(n *node, method, host, path, id string, deadline time.Duration, body []byte) outcome {
	began := time.Now()
	result := outcome{id: id, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.address(portOutbound)+path, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		result.status, result.isSigned = r.StatusCode, r.Header.Get("Server-Signature") != ""
	}
	result.err, result.elapsed = err, time.Since(began)
	return result
}

// isReady returns nil if the sidecar says that it is ready.
func isReady(n *node) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + n.address(portReady) + "/ready")
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", n.name, r.StatusCode)
	}
	return nil
}

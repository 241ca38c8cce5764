// Package console sends operators' commands to the control instances. It tries
// them in order and sends a command again with the same request id when its
// answer is lost.
package console

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	// attemptTimeout bounds one attempt, so that an instance that does not
	// answer leaves time for the next one.
	attemptTimeout = 5 * time.Second
	// roundPause is the time between two rounds over all instances.
	roundPause = 200 * time.Millisecond
)

// ErrUnavailable means that no control instance took the command. It did not
// run.
var ErrUnavailable = errors.New("no control instance took the command")

// Client sends commands. It is safe for concurrent use.
type Client struct {
	endpoints []endpoint
	// last is the index of the endpoint that answered last.
	last atomic.Int64
}

type endpoint struct {
	address netip.AddrPort
	service schema.OperatorServiceClient
}

// New returns a client of the control instances at the operator addresses.
func New(addresses []netip.AddrPort) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no operator address; give at least one control instance")
	}
	c := &Client{}
	for _, address := range addresses {
		service := schema.NewOperatorServiceClient(&http.Client{}, "http://"+address.String())
		c.endpoints = append(c.endpoints, endpoint{address: address, service: service})
	}
	return c, nil
}

// Method is a method expression of schema.OperatorServiceClient.
type Method[Req, Resp any] func(schema.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// Call sends the request until an instance gives a final answer or the context
// ends. The error is a *hornbeamwell.ConflictError, a
// *hornbeamwell.InvalidError, or wraps hornbeamwell.ErrNotFound,
// hornbeamwell.ErrUnknownOutcome or ErrUnavailable.
func Call[Req, Resp any](ctx context.Context, c *Client, method Method[Req, Resp], req *Req) (*Resp, error) {
	var maybeRun bool
	for {
		first := int(c.last.Load())
		var lastErr error
		for i := range c.endpoints {
			index := (first + i) % len(c.endpoints)
			resp, err := attempt(ctx, c.endpoints[index], method, req)
			if err == nil {
				c.last.Store(int64(index))
				return resp, nil
			}
			switch classify(err) {
			case outcomeFinal:
				c.last.Store(int64(index))
				return nil, toRootError(err)
			case outcomeUnknown:
				maybeRun = true
			case outcomeNotRun:
			}
			lastErr = fmt.Errorf("%s: %w", c.endpoints[index].address, err)
			if ctx.Err() != nil {
				return nil, giveUp(maybeRun, lastErr)
			}
		}
		select {
		case <-ctx.Done():
			return nil, giveUp(maybeRun, lastErr)
		case <-time.After(roundPause):
		}
	}
}

func attempt[Req, Resp any](ctx context.Context, e endpoint, method Method[Req, Resp], req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := method(e.service, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// giveUp returns the error of a command that got no final answer.
func giveUp(maybeRun bool, last error) error {
	if maybeRun {
		return fmt.Errorf("%w: %w", hornbeamwell.ErrUnknownOutcome, last)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, last)
}

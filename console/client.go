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
	// attemptTimeout bounds one attempt, so that an unresponsive instance leaves
	// time to try the next one.
	attemptTimeout = 5 * time.Second
	// retryInterval is the pause after all instances were tried.
	retryInterval = 200 * time.Millisecond
)

// ErrUnavailable means that no control instance accepted the command. The
// command did not run.
var ErrUnavailable = errors.New("no control instance accepted the command")

// Client sends commands to the control instances of one deployment. It is safe
// for concurrent use.
type Client struct {
	endpoints []endpoint
	// last is the index of the endpoint that sent the last final response. Calls
	// try it first.
	last atomic.Int64
}

type endpoint struct {
	address netip.AddrPort
	service schema.OperatorServiceClient
}

// New returns a client for the control instances with the operator addresses.
// At least one address is required.
func New(addresses []netip.AddrPort) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no operator address given; at least one is required")
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

// Call sends the request until an instance returns a final response or the
// context ends. The error is a *hornbeamwell.ConflictError, a
// *hornbeamwell.InvalidError, or wraps hornbeamwell.ErrNotFound,
// hornbeamwell.ErrUnknownOutcome or ErrUnavailable. Any other final error of an
// instance is returned as a *connect.Error.
func Call[Req, Resp any](ctx context.Context, c *Client, method Method[Req, Resp], req *Req) (*Resp, error) {
	var mayHaveRun bool
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
				mayHaveRun = true
			case outcomeNotRun:
			}
			lastErr = fmt.Errorf("%s: %w", c.endpoints[index].address, err)
			if ctx.Err() != nil {
				return nil, incompleteError(mayHaveRun, lastErr)
			}
		}
		select {
		case <-ctx.Done():
			return nil, incompleteError(mayHaveRun, lastErr)
		case <-time.After(retryInterval):
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

// incompleteError returns the error for a command without a final response.
func incompleteError(mayHaveRun bool, last error) error {
	if mayHaveRun {
		return fmt.Errorf("%w: %w", hornbeamwell.ErrUnknownOutcome, last)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, last)
}

package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
)

// maxRequestIDBytes bounds the length of a request id.
const maxRequestIDBytes = 128

// request is the request of a call that proposes a command.
type request interface {
	proto.Message
	GetRequestId() string
}

// commandBuilder returns the command for a request on the current
// configuration, or an error that refuses the request.
type commandBuilder func(current *hornbeamwell.Configuration) (catalog.Command, error)

// fixedCommand returns a builder of the same command for every configuration.
func fixedCommand(command catalog.Command) commandBuilder {
	return func(*hornbeamwell.Configuration) (catalog.Command, error) { return command, nil }
}

// submit commits the command of a request and returns its outcome, or the
// error that refused it. A request that is sent again with the same id gets the
// first outcome. A command with a base version is built again if another version
// was current when it was committed.
func (s *Service) submit(ctx context.Context, req request, build commandBuilder) (catalog.Outcome, error) {
	if err := checkRequestID(req.GetRequestId()); err != nil {
		return catalog.Outcome{}, err
	}
	digest, err := requestDigest(req)
	if err != nil {
		return catalog.Outcome{}, err
	}
	for {
		if err := s.Ledger.ReadBarrier(ctx); err != nil {
			return catalog.Outcome{}, fmt.Errorf("confirm leadership: %w", err)
		}
		if outcome, found := s.Catalog.Outcome(req.GetRequestId(), digest); found {
			return outcome, outcome.Err
		}
		command := buildCommand(s.Catalog.Configuration(), build)
		command.RequestID, command.RequestDigest = req.GetRequestId(), digest
		outcome, err := Propose(ctx, s.Ledger, s.Now(), command)
		if !errors.Is(err, catalog.ErrStaleBase) {
			return outcome, err
		}
	}
}

// buildCommand returns the command of a request. Where the request is refused,
// it returns a command that stores the refusal, so that a resend gets the same
// error.
func buildCommand(current *hornbeamwell.Configuration, build commandBuilder) catalog.Command {
	command, err := build(current)
	if err != nil {
		return catalog.Command{Kind: catalog.KindRefuse, Refusal: catalog.Outcome{Version: current.Version, Err: err}}
	}
	return command
}

// requestDigest returns a digest of the encoded request. It detects a request
// id that is used again for a different request.
func requestDigest(req request) (uint64, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	if err != nil {
		return 0, fmt.Errorf("encode the request: %w", err)
	}
	return xxhash.Sum64(data), nil
}

func checkRequestID(id string) error {
	if id == "" {
		return invalid("request_id", "is empty; use a new id for each command and the same id to resend it")
	}
	if len(id) > maxRequestIDBytes {
		return invalid("request_id", fmt.Sprintf("is longer than %d bytes", maxRequestIDBytes))
	}
	return nil
}

// Propose sets the time of a command to now and commits the command. It returns
// the outcome, or the error that refused the command.
func Propose(ctx context.Context, ledger hornbeamwell.Ledger, now time.Time, command catalog.Command) (catalog.Outcome, error) {
	command.At = now
	data, err := catalog.EncodeCommand(command)
	if err != nil {
		return catalog.Outcome{}, err
	}
	encoded, err := ledger.Propose(ctx, data)
	if err != nil {
		return catalog.Outcome{}, fmt.Errorf("propose %s: %w", command.Kind, err)
	}
	outcome, err := catalog.DecodeOutcome(encoded)
	if err != nil {
		return catalog.Outcome{}, err
	}
	return outcome, outcome.Err
}

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

// maxRequestIDBytes bounds a request id.
const maxRequestIDBytes = 128

// request is a call that changes something.
type request interface {
	proto.Message
	GetRequestId() string
}

// builder makes the command for a request on the current configuration. An
// error refuses the request.
type builder func(current *hornbeamwell.Configuration) (catalog.Command, error)

// always builds the same command on every configuration.
func always(command catalog.Command) builder {
	return func(*hornbeamwell.Configuration) (catalog.Command, error) { return command, nil }
}

// submit commits the command of a request and returns its outcome, or the
// error of its refusal. A resend gets the first answer.
func (s *Service) submit(ctx context.Context, req request, build builder) (catalog.Outcome, error) {
	if err := checkRequestID(req.GetRequestId()); err != nil {
		return catalog.Outcome{}, err
	}
	digest, err := digestOf(req)
	if err != nil {
		return catalog.Outcome{}, err
	}
	for {
		if err := s.Log.ReadBarrier(ctx); err != nil {
			return catalog.Outcome{}, fmt.Errorf("confirm the lead: %w", err)
		}
		if outcome, found := s.Catalog.Outcome(req.GetRequestId(), digest); found {
			return outcome, outcome.Err
		}
		command := buildOrRefuse(s.Catalog.Configuration(), build)
		command.RequestID, command.RequestDigest = req.GetRequestId(), digest
		outcome, err := Propose(ctx, s.Log, s.Now(), command)
		if !errors.Is(err, catalog.ErrStaleBase) {
			return outcome, err
		}
	}
}

// buildOrRefuse returns the command of a request, or the one that makes its
// refusal the answer to resends as well.
func buildOrRefuse(current *hornbeamwell.Configuration, build builder) catalog.Command {
	command, err := build(current)
	if err != nil {
		return catalog.Command{Kind: catalog.KindRefuse, Refusal: catalog.Outcome{Version: current.Version, Err: err}}
	}
	return command
}

// digestOf identifies what a request asks for.
func digestOf(req request) (uint64, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	if err != nil {
		return 0, fmt.Errorf("encode the request: %w", err)
	}
	return xxhash.Sum64(data), nil
}

func checkRequestID(id string) error {
	if id == "" {
		return invalid("request_id", "is empty; choose a new one for each command and repeat it in a resend")
	}
	if len(id) > maxRequestIDBytes {
		return invalid("request_id", fmt.Sprintf("is longer than %d bytes", maxRequestIDBytes))
	}
	return nil
}

// Propose commits a command at the present time and returns its outcome, or
// the error of its refusal.
func Propose(ctx context.Context, log hornbeamwell.Ledger, now time.Time, command catalog.Command) (catalog.Outcome, error) {
	command.At = now
	data, err := catalog.EncodeCommand(command)
	if err != nil {
		return catalog.Outcome{}, err
	}
	answer, err := log.Propose(ctx, data)
	if err != nil {
		return catalog.Outcome{}, fmt.Errorf("propose %s: %w", command.Kind, err)
	}
	outcome, err := catalog.DecodeOutcome(answer)
	if err != nil {
		return catalog.Outcome{}, err
	}
	return outcome, outcome.Err
}

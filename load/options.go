// Package load sends a bounded, open-loop load to entry proxies and checks that
// every caller gets the whole answer to its own request.
package load

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Options describe a load.
type Options struct {
	// Entries are the caller addresses of the entry proxies, used in turn.
	Entries []netip.AddrPort
	// Calls are the kinds of calls that are mixed.
	Calls []Call
	// Rate is the number of calls a second. Calls start on time whether or not
	// earlier ones have ended.
	Rate float64
	// Duration bounds the load. Zero runs until the context ends.
	Duration time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
	// MaxInFlight bounds the calls at once. A call that waits for a place is
	// late, and its latency says so.
	MaxInFlight int
	// Resend sends a keyed call whose outcome is unknown a second time with the
	// same key.
	Resend bool
	// Seed makes the mix repeatable.
	Seed uint64
	// CountRuns returns how often each request whose id has the prefix ran. It
	// is nil where nobody counts.
	CountRuns func(ctx context.Context, prefix string) (Runs, error)
}

// Call is a kind of call.
type Call struct {
	// Weight is the call's part of the mix.
	Weight             float64
	Method, Host, Path string
	Idempotent         bool
	// Keyed gives the call an Idempotency-Key.
	Keyed bool
	// BodyBytes is the size of the request's body, AnswerBytes the size of the
	// answer to ask for.
	BodyBytes, ResponseBytes int
}

// Runs are the counted runs of requests by id.
type Runs struct {
	Counts map[string]int
	// Unchecked counts the targets that could not be asked.
	Unchecked int
}

// Defaults and bounds of Options.
const (
	DefaultTimeout     = 15 * time.Second
	DefaultMaxInFlight = 1024
	maxRate            = 50_000
	maxCalls           = 1 << 20
)

// check returns what is wrong with the options and sets what they leave open.
func (o *Options) check() error {
	if len(o.Entries) == 0 {
		return errors.New("no entry proxy; name at least one")
	}
	if len(o.Calls) == 0 {
		return errors.New("no kind of call; name at least one")
	}
	if o.Rate <= 0 || o.Rate > maxRate {
		return fmt.Errorf("rate is %v; give one above 0 and up to %d calls a second", o.Rate, maxRate)
	}
	if total := o.Rate * o.Duration.Seconds(); total > maxCalls {
		return fmt.Errorf("%.0f calls are over the bound of %d; lower the rate or the duration", total, maxCalls)
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	return nil
}

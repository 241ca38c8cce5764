package load

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Options configures a load.
type Options struct {
	// Entries are the caller addresses of the entry proxies, used in turn.
	Entries []netip.AddrPort
	// Calls are the kinds of calls in the mix.
	Calls []Call
	// Rate is the number of calls per second. A call starts at its due time
	// whether or not earlier calls have ended.
	Rate float64
	// Duration is the time during which calls start. Zero means until the context
	// ends or 1<<20 calls have started.
	Duration time.Duration
	// Timeout bounds each time that a call is sent. Zero selects DefaultTimeout.
	Timeout time.Duration
	// MaxInFlight bounds the concurrent calls. A call that waits for a slot starts
	// late, and its latency includes the wait. Zero selects DefaultMaxInFlight.
	MaxInFlight int
	// Resend sends a keyed call a second time with the same key if its outcome is
	// unknown or no response arrived.
	Resend bool
	// Seed makes the mix reproducible.
	Seed uint64
	// CountRuns returns how often each request whose id has the prefix ran. The
	// runs are not checked if it is nil.
	CountRuns func(ctx context.Context, prefix string) (RunCounts, error)
	// Record receives the result of each call, from several goroutines. It may be nil.
	Record func(Result)
}

// Call describes a kind of call.
type Call struct {
	// Weight is the relative frequency of the call in the mix.
	Weight             float64
	Method, Host, Path string
	Idempotent         bool
	// Keyed sends the call with an Idempotency-Key.
	Keyed bool
	// BodyBytes is the size of the request body. ResponseBytes is the size that the
	// request asks for in the response.
	BodyBytes, ResponseBytes int
	// Chunked asks for a response without a length.
	Chunked bool
	// BodyDelay is the time that the request asks for between the header and the body
	// of the response.
	BodyDelay time.Duration
}

// Result describes one call that ended.
type Result struct {
	ID, Path   string
	Idempotent bool
	Entry      netip.AddrPort
	// Target is the name of the target that responded, empty if none did or it has none.
	Target  string
	Verdict Verdict
	// Reason is the reason of a proxy, or the error that ended the call.
	Reason string
	// Sent is when the call was sent first, Ended when its last response ended.
	Sent, Ended time.Time
}

// RunCounts holds the counted runs by request id.
type RunCounts struct {
	Counts map[string]int
	// Unchecked is the number of targets whose runs could not be read
	// completely.
	Unchecked int
}

// Defaults and limits of Options.
const (
	DefaultTimeout     = 15 * time.Second
	DefaultMaxInFlight = 1024
	maxRate            = 50_000
	maxCalls           = 1 << 20
)

// check validates the options and sets defaults.
func (o *Options) check() error {
	if len(o.Entries) == 0 {
		return errors.New("no entry proxy: at least one is required")
	}
	if len(o.Calls) == 0 {
		return errors.New("no kind of call: at least one is required")
	}
	if o.Rate <= 0 || o.Rate > maxRate {
		return fmt.Errorf("rate %v is out of range: it must be above 0 and at most %d calls per second", o.Rate, maxRate)
	}
	if total := o.Rate * o.Duration.Seconds(); total > maxCalls {
		return fmt.Errorf("%.0f calls exceed the limit of %d: lower the rate or the duration", total, maxCalls)
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	return nil
}

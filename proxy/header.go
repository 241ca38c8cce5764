package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// The headers that the proxies read or write. Those with headerPrefix are
// removed from a caller's call, of which only the timeout and the API key are read, and
// from a target's response, of which only the rate limit, the load and the coming stop
// are read. Of these, a refusal that a caller gets carries only the outcome and the reason.
const (
	headerPrefix   = "Hornbeamwell-"
	headerTarget   = "Hornbeamwell-Target"
	headerRoute    = "Hornbeamwell-Route"
	headerCall     = "Hornbeamwell-Call"
	headerTimeout  = "Hornbeamwell-Timeout"
	headerOutcome  = "Hornbeamwell-Outcome"
	headerReason   = "Hornbeamwell-Reason"
	headerHold     = "Hornbeamwell-Hold"
	headerHolder   = "Hornbeamwell-Holder"
	headerMemory   = "Hornbeamwell-Memory"
	headerSpread   = "Hornbeamwell-Spread"
	headerYoung    = "Hornbeamwell-Young"
	headerHandover = "Hornbeamwell-Handover"
	headerMembers  = "Hornbeamwell-Member"
	headerGossip   = "Hornbeamwell-Gossip"
	headerQuota    = "Hornbeamwell-Quota"
	headerWithdraw = "Hornbeamwell-Withdraw"
	// headerSendBy is the time until a response has to be sent, since the entry proxy stops.
	headerSendBy = "Hornbeamwell-Send-By"
	// headerExpedite holds the ids of attempts that were sent before the entry proxy stopped.
	headerExpedite = "Hornbeamwell-Expedite"
	// headerNumber is the number of a request between proxies that is not a call. The reply
	// has it too.
	headerNumber = "Hornbeamwell-Number"
	// headerStarted is in interim responses after the call was handed to the target.
	headerStarted = "Hornbeamwell-Started"
	// headerHeld is the time from the arrival of a call at the exit proxy to the response.
	headerHeld = "Hornbeamwell-Held"
	// headerSent is the time at which an attempt was sent, on the clock of its entry proxy.
	headerSent     = "Hornbeamwell-Sent"
	headerSuspects = "Hornbeamwell-Suspects"
	headerEarlier  = "Hornbeamwell-Earlier"
	headerKnows    = "Hornbeamwell-Knows"
	// headerServiceCold is the cold rate and the cold start of the target's service.
	headerServiceCold = "Hornbeamwell-Service-Cold"
	// headerAlternative is set if another target has room for the call.
	headerAlternative = "Hornbeamwell-Alternative"
	headerColdMs      = "Hornbeamwell-Cold-Ms"
	headerAPIKey      = "Hornbeamwell-Api-Key" // #nosec G101 -- the name of a header, not a key
	headerTeam        = "Hornbeamwell-Team"
	headerKeyProved   = "Hornbeamwell-Key-Proved"
	headerRateLimit   = "Hornbeamwell-Rate-Limit"
	headerLeaving     = "Hornbeamwell-Leaving"
	headerLoad        = "Hornbeamwell-Load"
	headerPace        = "Hornbeamwell-Pace"
	headerCold        = "Hornbeamwell-Cold"
	headerKey         = "Idempotency-Key"
	headerRetry       = "Retry-After"
	headerWait        = "Hornbeamwell-Wait"
	headerRequestID   = "Request-Id"
	headerUserAgent   = "User-Agent"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// dropHopHeaders removes the hop-by-hop headers, including those named by the
// Connection header.
func dropHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// dropOwnHeaders removes the headers with headerPrefix.
func dropOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// maxDuration is the longest duration that the headers carry. Longer ones, such
// as the age of a process's records, make no difference to any decision.
const maxDuration = 24 * time.Hour

// formatDuration encodes a duration in microseconds, at most maxDuration.
func formatDuration(d time.Duration) string {
	return strconv.FormatInt(min(max(d, 0), maxDuration).Microseconds(), 10)
}

// parseDuration decodes a duration in microseconds. A duration longer than
// maxDuration is read as maxDuration, since proxies of earlier versions send
// them. It returns false if the text is not valid.
func parseDuration(text string) (time.Duration, bool) {
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil || micros < 0 {
		return 0, false
	}
	return time.Duration(min(micros, maxDuration.Microseconds())) * time.Microsecond, true
}

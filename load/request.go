package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

// request is one call of a load.
type request struct {
	id   string
	call Call
	body []byte
}

// newRequest returns the request of a load with the sequence number.
func newRequest(loadID string, sequence uint64, call Call) request {
	id := fmt.Sprintf("%s%d", idPrefix(loadID, call.Idempotent), sequence)
	body := bytes.Repeat([]byte(id+"\n"), call.BodyBytes/(len(id)+1)+1)
	return request{id: id, call: call, body: body[:call.BodyBytes]}
}

// idPrefix returns the prefix of the ids of a load's idempotent or
// non-idempotent requests.
func idPrefix(loadID string, idempotent bool) string {
	if idempotent {
		return loadID + "-i-"
	}
	return loadID + "-n-"
}

// nonReplayableBody is a body that http.Transport cannot obtain a second time.
// The transport otherwise resends a request with a key or an empty body on its
// own.
type nonReplayableBody struct {
	io.Reader
}

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

func (r request) build(ctx context.Context, entry netip.AddrPort) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.call.Method, "http://"+entry.String()+r.call.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if !r.call.Idempotent || len(r.body) > 0 {
		req.Body = nonReplayableBody{bytes.NewReader(r.body)}
		req.ContentLength = int64(len(r.body))
	}
	req.Host = r.call.Host
	req.Header.Set(standin.HeaderRequestID, r.id)
	if r.call.Keyed {
		req.Header.Set(standin.HeaderKey, r.id)
	}
	if r.call.ResponseBytes > 0 {
		req.Header.Set(standin.HeaderResponseBytes, strconv.Itoa(r.call.ResponseBytes))
	}
	if r.call.Chunked {
		req.Header.Set(standin.HeaderChunked, "1")
	}
	if r.call.BodyDelay > 0 {
		req.Header.Set(standin.HeaderBodyDelay, strconv.FormatInt(r.call.BodyDelay.Milliseconds(), 10))
	}
	return req, nil
}

// result is the result of sending a request once.
type result struct {
	verdict Verdict
	// version is the target version that responded, empty if none did, and target the
	// name of the target.
	version, target string
	// reason is the reason that a proxy gave for a refusal or an unknown outcome, or
	// the error because of which no whole response arrived. It is empty otherwise.
	reason string
}

// send sends the request once.
func (r request) send(ctx context.Context, client *http.Client, entry netip.AddrPort) result {
	req, err := r.build(ctx, entry)
	if err != nil {
		return result{verdict: VerdictLost}
	}
	resp, err := client.Do(req)
	if err != nil {
		return result{verdict: classifyError(err), reason: rootMessage(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, readErr := io.ReadAll(io.LimitReader(resp.Body, standin.MaxResponseBytes+1))
	want := standin.ResponseBody(r.id, r.body, r.call.ResponseBytes)
	res := result{verdict: classify(r.id, want, resp, body, readErr), version: resp.Header.Get(standin.HeaderVersion)}
	res.target = resp.Header.Get(standin.HeaderTarget)
	if readErr != nil {
		res.reason = rootMessage(readErr)
	}
	if res.verdict == VerdictRefused || res.verdict == VerdictUnknown {
		res.reason = readReason(body)
	}
	return res
}

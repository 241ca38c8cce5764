package instance

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// status returns the status of a call with an API key through a proxy, 0 for no response.
func (d *deployment) status(ctx context.Context, proxy, key string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.settings[proxy].Proxy.Callers.String()+"/credits/1", http.NoBody)
	if err != nil {
		d.t.Fatal(err)
	}
	request.Header.Set("Hornbeamwell-Api-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitStatus waits until calls with the key through the proxies end with the status. It
// returns the time that it took.
func (d *deployment) awaitStatus(within time.Duration, key string, status int, proxies ...string) time.Duration {
	d.t.Helper()
	started := time.Now()
	for _, proxy := range proxies {
		d.eventually(within, func(ctx context.Context) error {
			if got := d.status(ctx, proxy, key); got != status {
				return fmt.Errorf("a call with the key %s through %s has status %d, want %d", key, proxy, got, status)
			}
			return nil
		})
	}
	return time.Since(started)
}

// setKeys gives the team red other keys.
func (d *deployment) setKeys(keys ...string) {
	d.t.Helper()
	team := &schema.Team{Name: "red"}
	for _, key := range keys {
		hash := hornbeamwell.HashKey(key)
		team.KeyHashes = append(team.KeyHashes, hash[:])
	}
	request := &schema.ChangeRequest{RequestId: uuid.NewString(), Teams: []*schema.Team{team}}
	if _, err := d.clients["control-0"].Change(d.t.Context(), connect.NewRequest(request)); err != nil {
		d.t.Fatal(err)
	}
}

// TestKeysReachProxies guards against keys that come into force late, that are forgotten
// with a restart of the control instances, or that strict revocation leaves in use.
func TestKeysReachProxies(t *testing.T) {
	t.Parallel()
	const revokeAfter = 3 * time.Second
	d := newDeployment(t, "lenient", "strict")
	for id, s := range d.settings {
		s.Pace = settings.PaceSite
		if id == "strict" {
			s.Proxy.RevokeAfter = revokeAfter
		}
		d.settings[id] = s
	}
	d.startAll()
	d.startTarget("lenient", "v1")
	d.awaitInForce("control-0", d.apply("control-0"))
	d.awaitStatus(5*time.Second, "", http.StatusOK, "lenient", "strict")
	d.setKeys("k1")
	took := d.awaitStatus(2*time.Second, "", http.StatusUnauthorized, "lenient", "strict")
	d.awaitStatus(2*time.Second, "k1", http.StatusOK, "lenient", "strict")
	d.setKeys("k2")
	removed := d.awaitStatus(2*time.Second, "k1", http.StatusUnauthorized, "lenient", "strict")
	t.Logf("the first key was required after %s, a removed one refused after %s", took, removed)
	for i := range controlCount {
		d.stop(fmt.Sprintf("control-%d", i))
	}
	refused := d.awaitStatus(revokeAfter+time.Second, "k2", http.StatusServiceUnavailable, "strict")
	t.Logf("the strict proxy refused keys %s after the last control instance stopped", refused)
	d.awaitStatus(0, "k2", http.StatusOK, "lenient")
	d.awaitStatus(0, "k1", http.StatusUnauthorized, "lenient")
	for i := range controlCount {
		d.start(fmt.Sprintf("control-%d", i))
	}
	d.awaitStatus(15*time.Second, "k2", http.StatusOK, "strict")
	d.awaitStatus(0, "k1", http.StatusUnauthorized, "strict", "lenient")
}

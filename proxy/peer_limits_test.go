package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
)

// exitMemory is the memory for the clients of newExit.
const exitMemory = 1 << 20

// newExit returns a proxy with a local target and a budget for clients.
func newExit(t *testing.T) *Proxy {
	t.Helper()
	p := New(Options{
		Instance: "a", Zone: "z", Connections: connection.NewTable(connection.Limits{MemoryBytes: exitMemory, Connections: 100}, log.NewNopLogger()),
	})
	p.SetLocalTarget(hornbeamwell.Target{
		ID: "a", Service: "s", Version: "v1", Zone: "z", Slots: 1, Connections: 1, Incarnation: 1, Sequence: 1, State: hornbeamwell.TargetReady,
	}, netip.MustParseAddrPort("127.0.0.1:1"))
	return p
}

func (p *Proxy) askExit(t *testing.T, method, body string, header map[string]string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), method, "/", strings.NewReader(body))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	p.ExitHandler().ServeHTTP(w, r)
	return w
}

// TestHoldsStayWithinTheBudget guards against records of keys that outlive the requests of
// other proxies without a bound: they were neither refused for the length of a key nor for
// their number.
func TestHoldsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	p := newExit(t)
	hold := func(key, claimant string) int {
		return p.askExit(t, http.MethodPost, "", map[string]string{headerHold: claimant, headerTarget: "a", headerRoute: "r", headerKey: key}).Code
	}
	if code := hold(strings.Repeat("k", maxKeyLength+1), "b"); code != http.StatusBadRequest {
		t.Errorf("a key that is too long got %d", code)
	}
	if code := hold("k", strings.Repeat("b", maxNameLength+1)); code != http.StatusBadRequest {
		t.Errorf("a name that is too long got %d", code)
	}
	held := 0
	for i := range 10_000 {
		if hold(fmt.Sprint(i), "b") != http.StatusNoContent {
			break
		}
		held++
	}
	if held < 100 || held > 1000 {
		t.Errorf("%d holds fit into a quarter of %d bytes", held, exitMemory)
	}
	if code := hold("0", "b"); code != http.StatusNoContent {
		t.Errorf("a hold that is known got %d", code)
	}
	if code := hold("new", "b"); code != http.StatusServiceUnavailable {
		t.Errorf("a hold beyond the budget got %d", code)
	}
}

// TestHandoversStayWithinTheBudget guards against a proxy that stores for others what takes
// all of its memory.
func TestHandoversStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	p := newExit(t)
	store := func(id string, size int) int {
		return p.askExit(t, http.MethodPut, strings.Repeat("x", size), map[string]string{headerHandover: id, headerTarget: "a"}).Code
	}
	if code := store("large", exitMemory/4+1); code != http.StatusBadRequest {
		t.Errorf("a handover of more than a quarter got %d", code)
	}
	for i, want := range []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable} {
		if code := store(fmt.Sprint(i), exitMemory/10); code != want {
			t.Errorf("handover %d got %d, want %d", i, code, want)
		}
	}
	if code := store("0", exitMemory/10); code != http.StatusOK {
		t.Errorf("a handover in place of another one got %d", code)
	}
	if w := p.askExit(t, http.MethodGet, "", map[string]string{headerHandover: "0", headerTarget: "a"}); w.Code != http.StatusOK || w.Body.Len() != exitMemory/10 {
		t.Errorf("the handover is returned as %d bytes with %d", w.Body.Len(), w.Code)
	}
	if code := store("2", exitMemory/10); code != http.StatusOK {
		t.Errorf("a handover after one was returned got %d", code)
	}
}

// TestLongNamesInEnvelopesAreRefused guards against names of other proxies that stay in means
// after their calls.
func TestLongNamesInEnvelopesAreRefused(t *testing.T) {
	t.Parallel()
	p := newExit(t)
	call := "1-1;a;v1;" + strings.Repeat("r", maxNameLength+1) + ";ii;0;0;c;2000000;0"
	if w := p.askExit(t, http.MethodGet, "", map[string]string{headerCall: call}); w.Code != http.StatusBadRequest {
		t.Errorf("a call with a long route got %d", w.Code)
	}
}

// TestRefusalsForMemory guards against a refusal that says nothing about whether the call ran,
// or when to come back.
func TestRefusalsForMemory(t *testing.T) {
	t.Parallel()
	p := newExit(t)
	w := httptest.NewRecorder()
	p.RefuseCall(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(headerRetry) == "" || w.Header().Get(headerOutcome) != "not-run" {
		t.Errorf("a caller got %d with %v", w.Code, w.Header())
	}
	keyed := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
	keyed.Header.Set(headerKey, "k")
	w = httptest.NewRecorder()
	p.RefuseCall(w, keyed)
	if w.Header().Get(headerOutcome) != "unknown" {
		t.Errorf("a caller with a key got %v", w.Header())
	}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	r.Header.Set(headerCall, "1-1;a;v1;r;ii;0;0;c;2000000;0")
	w = httptest.NewRecorder()
	p.RefuseAttempt(w, r)
	if reply, valid := parseReply(w.Header().Get(headerCall)); !valid || reply.id != "1-1" || reply.outcome != "not-run" {
		t.Errorf("a proxy got %v", w.Header())
	}
}

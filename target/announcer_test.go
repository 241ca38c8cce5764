package target

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestMain(m *testing.M) {
	hornbeamwell.PanicOnViolation.Store(true)
	os.Exit(m.Run())
}

// announcerScript is a sequence of requests from a target to its announcer.
type announcerScript struct {
	Name  string
	Steps []struct {
		AfterMs  int64 `json:"after_ms"`
		Call     string
		Body     json.RawMessage
		Status   int
		Contains string
		// Changes is the number of calls of OnChange so far. It is not checked
		// after a GET.
		Changes int
	}
}

func TestAnnouncerScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/announcements.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []announcerScript
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) { runScript(t, s) })
	}
}

func runScript(t *testing.T, s announcerScript) {
	now := time.Unix(1_800_000_000, 0)
	changes := 0
	announcer := NewAnnouncer(AnnouncerOptions{
		ID: "p1", Zone: "a", Exit: netip.MustParseAddrPort("127.0.0.1:7001"),
		OnChange: func(hornbeamwell.Target, netip.AddrPort) { changes++ },
		Now:      func() time.Time { return now },
	})
	for i, step := range s.Steps {
		now = now.Add(time.Duration(step.AfterMs) * time.Millisecond)
		announcer.Tick(now)
		request := httptest.NewRequestWithContext(t.Context(), step.Call, "/v1/target", bytes.NewReader(step.Body))
		response := httptest.NewRecorder()
		announcer.Handler().ServeHTTP(response, request)
		if response.Code != step.Status || !strings.Contains(response.Body.String(), step.Contains) {
			t.Fatalf("step %d: %s returned %d %s, want %d with %s", i, step.Call, response.Code, response.Body, step.Status, step.Contains)
		}
		if step.Call != http.MethodGet && step.Changes != changes {
			t.Fatalf("step %d: %d changes, want %d", i, changes, step.Changes)
		}
	}
}

// TestLeavingIncarnationStaysDraining guards against a target that stated to its proxy
// that it is about to stop, and becomes ready again with its next announcement.
func TestLeavingIncarnationStaysDraining(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	announcer := NewAnnouncer(AnnouncerOptions{ID: "p1", Zone: "a", Exit: netip.MustParseAddrPort("127.0.0.1:7001")})
	announce := func(incarnation uint64, slots int) hornbeamwell.TargetState {
		t.Helper()
		now = now.Add(time.Second)
		got, err := announcer.Announce(now, Announcement{
			Service: "s", Version: "v1", Address: netip.MustParseAddrPort("127.0.0.1:7002"),
			Slots: slots, Connections: 10, Incarnation: incarnation, Sequence: uint64(now.Unix()),
		})
		if err != nil {
			t.Fatal(err)
		}
		return got.State
	}
	announcer.DrainIncarnation(now, 5)
	if state := announce(6, 10); state != hornbeamwell.TargetReady {
		t.Errorf("incarnation 6 is %s after incarnation 5 stated that it leaves", state)
	}
	announcer.DrainIncarnation(now, 6)
	for _, slots := range []int{10, 12} {
		if state := announce(6, slots); state != hornbeamwell.TargetDraining {
			t.Errorf("the leaving incarnation is %s after an announcement of %d slots", state, slots)
		}
	}
	if state := announce(7, 12); state != hornbeamwell.TargetReady {
		t.Errorf("the next incarnation is %s", state)
	}
}

// TestEveryColdRemainingIsPassedOn guards against a remaining cold time that is lost with
// a renewal, taken from an announcement that arrives out of order, or missing where a target
// without a clock starts a new incarnation with each value.
func TestEveryColdRemainingIsPassedOn(t *testing.T) {
	var got []time.Duration
	announcer := NewAnnouncer(AnnouncerOptions{OnColdRemaining: func(_ uint64, remaining time.Duration) { got = append(got, remaining) }})
	for i, a := range []Announcement{
		{Incarnation: 5, Sequence: 1, HasColdRemaining: true, ColdRemaining: 3 * time.Second},
		{Incarnation: 5, Sequence: 3, HasColdRemaining: true},
		{Incarnation: 5, Sequence: 2, HasColdRemaining: true, ColdRemaining: time.Second},
		{Incarnation: 5, Sequence: 4},
		{HasColdRemaining: true, ColdRemaining: 2 * time.Second},
		{HasColdRemaining: true, ColdRemaining: time.Second},
	} {
		a.Service, a.Version, a.Slots, a.Connections = "s", "v", 1, 1
		a.Address, a.ColdStart = netip.MustParseAddrPort("127.0.0.1:1"), a.ColdRemaining
		if i == 4 {
			announcer.Withdraw(time.Unix(1000+int64(i), 0), "")
		}
		if _, err := announcer.Announce(time.Unix(1000+int64(i), 0), a); err != nil {
			t.Fatal(err)
		}
	}
	if want := []time.Duration{3 * time.Second, 0, 2 * time.Second, time.Second}; !slices.Equal(got, want) {
		t.Errorf("the remaining times are %v, want %v", got, want)
	}
}

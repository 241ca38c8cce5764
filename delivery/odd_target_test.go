package delivery

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell/wire"
)

// readOddTargets returns encoded targets that no proxy can use.
func readOddTargets(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	data, err := os.ReadFile("testdata/odd_targets.json")
	if err != nil {
		t.Fatal(err)
	}
	var odd map[string]json.RawMessage
	if err := json.Unmarshal(data, &odd); err != nil {
		t.Fatal(err)
	}
	odd["nested"] = json.RawMessage(`{"id":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`)
	odd["long id"] = json.RawMessage(`{"id":"` + strings.Repeat("x", 1<<20) + `","service":"orders"}`)
	return odd
}

func encode(t *testing.T, value any) json.RawMessage {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestOddTargetLeavesOthers announces lists with odd targets between two others. None of
// them may keep the others from the proxies, and none may reach a proxy.
func TestOddTargetLeavesOthers(t *testing.T) {
	n := startNode(t, "control-0")
	n.configure(t, sampleConfiguration(1, "orders"))
	reader := startProxy(t, "reader", n.address)
	mux, handled := wire.NewMux(), make(chan struct{}, 1)
	wire.Handle(mux, wire.MethodHeartbeatReply, func(context.Context, *wire.Peer, wire.HeartbeatReply) (any, error) {
		handled <- struct{}{}
		return nil, nil
	})
	writer, err := wire.Dial(t.Context(), n.address, mux)
	if err != nil {
		t.Fatal(err)
	}
	request := wire.OpenRequest{ID: "writer", Role: wire.RoleProxy, Session: 1, Round: 1}
	if _, err := wire.Call[wire.OpenRequest, wire.OpenResponse](t.Context(), writer, wire.MethodOpen, request); err != nil {
		t.Fatal(err)
	}
	odd := readOddTargets(t)
	want := make([]string, 0, 2*len(odd))
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		before, after := sampleTarget("before "+name, "orders", 1), sampleTarget("later "+name, "orders", 1)
		want = append(want, before.ID, after.ID)
		announce := map[string]any{"targets": []json.RawMessage{encode(t, wire.FromTarget(before)), odd[name], encode(t, wire.FromTarget(after))}}
		if err := wire.Notify(t.Context(), writer, wire.MethodAnnounce, announce); err != nil {
			t.Fatal(err)
		}
	}
	// The race detector takes seconds to decode the long id. The reply to the heartbeat comes
	// once all lists are decoded.
	if err := wire.Notify(t.Context(), writer, wire.MethodHeartbeat, wire.Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	<-handled
	slices.Sort(want)
	var ids []string
	waitFor(t, 3*time.Second, "all usable targets at the proxy", func() bool {
		listed := reader.state().Targets
		ids = make([]string, 0, len(listed))
		for _, target := range listed {
			ids = append(ids, target.ID)
		}
		return len(ids) >= len(want)
	})
	if !slices.Equal(ids, want) {
		t.Errorf("the proxy has the targets %q, want %q", ids, want)
	}
}

// TestOddItemLeavesOthers sends a subscriber whole lists and changes with an odd item, as
// a source of another version may. It may not refuse them, which the source would repeat
// for ever, and may not use the item.
func TestOddItemLeavesOthers(t *testing.T) {
	good := func(id string) json.RawMessage {
		target := wire.FromTarget(sampleTarget(id, "orders", 1))
		return encode(t, wire.Item{Target: &target})
	}
	for name, target := range readOddTargets(t) {
		t.Run(name, func(t *testing.T) {
			odd := json.RawMessage(`{"target":` + string(target) + `}`)
			state := &streamState{keepsUnreadable: true}
			subscriber := &subscriberState{presence: state}
			parts := []wire.Part{
				{Full: true, Replaced: []wire.Group{{Service: "orders", Items: []json.RawMessage{good("a"), odd, good("b")}}}},
				{Put: []json.RawMessage{good("c")}},
			}
			digest := uint64(0)
			for _, part := range parts {
				part.BaseDigest = digest
				for _, raw := range slices.Concat(part.Put, append([]wire.Group{{}}, part.Replaced...)[len(part.Replaced)].Items) {
					digest += xxhash.Sum64(raw)
				}
				part.Digest = digest
				if err := subscriber.applyPresence(&part); err != nil {
					t.Fatal(err)
				}
			}
			ids := make([]string, 0, len(subscriber.decoded.Targets))
			for _, used := range subscriber.decoded.Targets {
				ids = append(ids, used.ID)
			}
			if !slices.Equal(ids, []string{"a", "b", "c"}) {
				t.Errorf("the subscriber uses %q", ids)
			}
		})
	}
}

// TestExitsThatCannotBeDialed checks the addresses of targets from other processes.
func TestExitsThatCannotBeDialed(t *testing.T) {
	for text, isUsable := range map[string]bool{
		"[fe80::1%eth0]:7001": true, "[::1]:7001": true, "10.0.0.1:65535": true,
		"[ff02::1]:7001": false, "239.1.1.1:7001": false, "[::1]:0": false,
	} {
		target := sampleTarget("a", "orders", 1)
		target.Exit = netip.MustParseAddrPort(text)
		if got := (&item{target: &target}).usableTarget() != nil; got != isUsable {
			t.Errorf("%s usable: %v", text, got)
		}
	}
}

// TestNewLeaderSkipsOddProxies guards against a list of proxies with an item of another kind
// or one that can't be read, which would end each source that becomes the leader.
func TestNewLeaderSkipsOddProxies(t *testing.T) {
	target := wire.FromTarget(sampleTarget("a", "orders", 1))
	raws := []json.RawMessage{
		encode(t, wire.Item{Target: &target}),
		[]byte(`{"proxy":{"id":7}}`),
		encode(t, wire.Item{Proxy: &wire.ReportedProxy{ID: "p1", Session: 1, LastContactAgoMs: math.MaxInt64}}),
	}
	part := wire.Part{Full: true, Put: raws}
	for _, raw := range raws {
		part.Digest += xxhash.Sum64(raw)
	}
	proxies, _, err := newSubscriberState().proxies.apply(&part)
	if err != nil {
		t.Fatal(err)
	}
	source := NewSource(SourceOptions{ID: "control-0"})
	source.setPreviousProxies(proxies)
	if !source.adoptPreviousProxies(time.Unix(1_800_000_000, 0)) {
		t.Error("the proxy beside the odd items is not adopted")
	}
}

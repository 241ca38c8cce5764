package proxy

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// registryScript plays one case of a script.
type registryScript struct {
	registry attemptRegistry
	records  map[string]*attemptRecord
	start    time.Time
}

func newRegistryScript() *registryScript {
	s := &registryScript{records: make(map[string]*attemptRecord), start: time.Unix(1_800_000_000, 0)}
	s.registry.init()
	return s
}

// play plays one event and returns its result.
func (s *registryScript) play(t *testing.T, at, event, id string) string {
	t.Helper()
	offset, err := time.ParseDuration(at)
	if err != nil {
		t.Fatal(err)
	}
	now := s.start.Add(offset)
	switch event {
	case "arrive":
		record, isAccepted := s.registry.begin(now, &exitCall{envelope: envelope{id: id}})
		s.records[id] = record
		return map[bool]string{true: "accepted", false: "refused"}[isAccepted]
	case "hand_over":
		return map[bool]string{true: "started", false: "refused"}[s.registry.handOver(s.records[id])]
	case "take_back":
		s.registry.takeBack(s.records[id])
	case "end":
		s.registry.end(s.records[id])
	case "withdraw":
		d := s.registry.withdraw(now, id)
		age := d.recordsAge.String()
		if d.recordsAge == maxDuration {
			age = "all"
		}
		return fmt.Sprint(d.result, " ", d.state, " ", age)
	default:
		t.Fatalf("unknown event %q", event)
	}
	return ""
}

// TestAttemptRegistry plays testdata/withdrawals/registry.txt. It guards against an
// attempt that is run after its withdrawal, and against "withdrawn" for one that ran.
func TestAttemptRegistry(t *testing.T) {
	file, err := os.Open("testdata/withdrawals/registry.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var script *registryScript
	name, lines := "", bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if title, isCase := strings.CutPrefix(text, "case "); isCase {
			name, script = title, newRegistryScript()
			continue
		}
		fields := strings.Fields(text)
		want := strings.Join(fields[3:], " ")
		if got := script.play(t, fields[0], fields[1], fields[2]); got != want {
			t.Errorf("line %d, %s: got %q, want %q", number, name, got, want)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
}

// TestRegistryIsBounded guards against memory that grows with the calls, and against
// "withdrawn" for an attempt whose record was dropped to stay within the bound.
func TestRegistryIsBounded(t *testing.T) {
	s := newRegistryScript()
	for i := range 2 * maxAttemptRecords {
		id := fmt.Sprintf("p-%x", i)
		now := s.start.Add(time.Duration(i) * time.Microsecond)
		record, _ := s.registry.begin(now, &exitCall{envelope: envelope{id: id}})
		s.registry.handOver(record)
		s.registry.end(record)
	}
	if got := len(s.registry.attempts); got > maxAttemptRecords {
		t.Errorf("%d records, want at most %d", got, maxAttemptRecords)
	}
	now := s.start.Add(2 * maxAttemptRecords * time.Microsecond)
	d := s.registry.withdraw(now, "p-1")
	if sent := s.start; decideWithdrawal(withdrawalReply{result: d.result, recordsAge: d.recordsAge}, now.Sub(sent)) != withdrawalUnknown {
		t.Errorf("result %q with records of %s for an attempt whose record was dropped", d.result, d.recordsAge)
	}
	for i := range 2 * maxWithdrawnRecords {
		s.registry.withdraw(now, fmt.Sprintf("q-%x", i))
	}
	if got := len(s.registry.withdrawn); got != maxWithdrawnRecords {
		t.Errorf("%d withdrawn attempts, want %d", got, maxWithdrawnRecords)
	}
	if d := s.registry.withdraw(now, "r-1"); d.result != withdrawalUnknown {
		t.Errorf("result %q without room for the id, want unknown", d.result)
	}
}

// TestRestartedExitKnowsNothingOfEarlierAttempts guards against "withdrawn" for an
// attempt that an earlier process may have handed over.
func TestRestartedExitKnowsNothingOfEarlierAttempts(t *testing.T) {
	for _, c := range []struct {
		reply      withdrawalReply
		attemptAge time.Duration
		want       withdrawalResult
	}{
		{withdrawalReply{withdrawalWithdrawn, time.Second}, 900 * time.Millisecond, withdrawalWithdrawn},
		{withdrawalReply{withdrawalWithdrawn, time.Second}, 995 * time.Millisecond, withdrawalUnknown},
		{withdrawalReply{withdrawalWithdrawn, time.Second}, 2 * time.Second, withdrawalUnknown},
		{withdrawalReply{withdrawalWithdrawn, maxDuration}, 20 * time.Second, withdrawalWithdrawn},
		{withdrawalReply{withdrawalStarted, 0}, time.Second, withdrawalStarted},
		{withdrawalReply{"", maxDuration}, time.Second, withdrawalUnknown},
	} {
		if got := decideWithdrawal(c.reply, c.attemptAge); got != c.want {
			t.Errorf("%+v for an attempt sent %s ago: %q, want %q", c.reply, c.attemptAge, got, c.want)
		}
	}
}

// testAttempt returns an attempt at the only target of the mesh of n.
func testAttempt(t *testing.T, n *node, id string) *sentAttempt {
	t.Helper()
	table := n.proxy.table.Load()
	rule := table.Match("", http.MethodPost, "/pairings")
	service := table.rules[rule].nextService()
	u := service.upstreams[n.target.ID]
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x/pairings", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header[headerCall] = []string{formatEnvelope(id, u.envelopePart, table.rules[rule].envelopePart, "caller", 0, 5*time.Second, 0)}
	return &sentAttempt{candidate: service.targets[n.target.ID], upstream: u, started: time.Now(), id: id, request: request}
}

// TestWithdrawal withdraws an attempt that runs, one that is queued behind it and one
// that arrives later. It guards against a run after "withdrawn" and against an abort of
// the running one.
func TestWithdrawal(t *testing.T) {
	release, running := make(chan struct{}), make(chan struct{}, 1)
	var runs atomic.Int64
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 1, serve(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		running <- struct{}{}
		<-release
		w.WriteHeader(http.StatusNoContent)
	})}))
	m.update()
	first, second := testAttempt(t, n, n.proxy.nextAttemptID()), testAttempt(t, n, n.proxy.nextAttemptID())
	type result struct {
		response *targetResponse
		refused  *refusal
	}
	send := func(a *sentAttempt) chan result {
		done := make(chan result, 1)
		go func() {
			response, refused := n.proxy.exchange(t.Context(), a.request, a.upstream, a.candidate, a.id, abandonPolicy{})
			done <- result{response, refused}
		}()
		return done
	}
	firstDone := send(first)
	<-running
	secondDone := send(second)
	waitFor(t, func() bool {
		calls, _ := n.proxy.local.Load().gate.load()
		return calls == 2
	})
	if got := n.proxy.withdraw(t.Context(), first); got != withdrawalStarted {
		t.Errorf("the running attempt: %q, want started", got)
	}
	if got := n.proxy.withdraw(t.Context(), second); got != withdrawalWithdrawn {
		t.Errorf("the queued attempt: %q, want withdrawn", got)
	}
	if got := <-secondDone; got.refused == nil || got.refused.outcome != route.OutcomeNotRun || got.refused.reason != ReasonWithdrawn {
		t.Errorf("the queued attempt was answered %+v, want a refusal as withdrawn", got.refused)
	}
	// The records of the exit begin with its first request.
	third := testAttempt(t, n, n.proxy.nextAttemptID())
	if got := n.proxy.withdraw(t.Context(), third); got != withdrawalWithdrawn {
		t.Errorf("the attempt that has not arrived: %q, want withdrawn", got)
	}
	close(release)
	if got := <-send(third); got.refused == nil || got.refused.reason != ReasonWithdrawn {
		t.Errorf("the attempt that arrived after its withdrawal was answered %+v, want a refusal as withdrawn", got.refused)
	}
	if got := <-firstDone; got.refused != nil {
		t.Errorf("the running attempt was refused: %+v", got.refused)
	}
	if got := n.proxy.withdraw(t.Context(), first); got != withdrawalStarted {
		t.Errorf("the attempt that ran: %q, want started", got)
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs, want 1", runs.Load())
	}
}

// TestWithdrawalOfEarlierVersion sends a withdrawal to an exit that answers as one does
// that does not know the header, to one that does not answer, and to none.
func TestWithdrawalOfEarlierVersion(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"earlier version": func(w http.ResponseWriter, _ *http.Request) {
			w.Header()[headerCall] = []string{formatReply("", route.OutcomeNotRun, 0, 0)}
			notRun(http.StatusBadRequest, ReasonBadRequest, 0).write(w, plainHeaderCodec{})
		},
		"silent":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"aborted": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
		attempt := testAttempt(t, n, n.proxy.nextAttemptID())
		address := serve(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: handler})
		attempt.upstream.peer = &peer{address: address, pool: newPool(address, peerDialTimeout, maxPeerHeaderBytes)}
		if got := n.proxy.withdraw(t.Context(), attempt); got != withdrawalUnknown {
			t.Errorf("%s: %q, want unknown", name, got)
		}
	}
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold within 5 s")
		}
	}
}

package proxy

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
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
		{withdrawalReply{withdrawalWithdrawn, time.Second}, 999500 * time.Microsecond, withdrawalUnknown},
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

// TestInterimResponsesStateStart guards against a start that is stated of a queued call,
// and against one that is not stated of a running call: the entry would ask in vain.
func TestInterimResponsesStateStart(t *testing.T) {
	running := make(chan struct{}, 2)
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 1, serve(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		time.Sleep(2 * interimInterval)
		if _, isForwarded := r.Header[headerStarted]; isForwarded {
			t.Error("the target received the header")
		}
		w.WriteHeader(http.StatusNoContent)
	})}))
	m.update()
	var done sync.WaitGroup
	defer done.Wait()
	send := func() *startNotice {
		a, notice := testAttempt(t, n, n.proxy.nextAttemptID()), &startNotice{}
		request := a.request.WithContext(notice.attach(t.Context()))
		done.Go(func() {
			response, refused := n.proxy.exchange(t.Context(), request, a.upstream, a.candidate, a.id, abandonPolicy{})
			if refused != nil || headerValue(response.Header, headerStarted) != "" {
				t.Errorf("refusal %+v, or a response that states the start", refused)
			}
		})
		return notice
	}
	first := send()
	<-running
	second := send()
	waitFor(t, first.isStarted.Load)
	if second.isStarted.Load() {
		t.Error("the queued call counts as started")
	}
	<-running
	waitFor(t, second.isStarted.Load)
}

// TestWhenLostAttemptsAreWithdrawn guards against messages that can change nothing.
func TestWhenLostAttemptsAreWithdrawn(t *testing.T) {
	for _, c := range []struct {
		lost       lostAttempt
		now, later bool
	}{
		{lost: lostAttempt{remaining: time.Second}, now: true},
		{lost: lostAttempt{remaining: time.Second, mayRepeat: true}, later: true},
		{lost: lostAttempt{remaining: time.Second, isStarted: true}},
		{lost: lostAttempt{remaining: time.Second, isStarted: true, mayRepeat: true}},
		{lost: lostAttempt{}},
		{lost: lostAttempt{mayRepeat: true}},
	} {
		if c.lost.shouldWithdraw() != c.now || c.lost.canWithdrawLater() != c.later {
			t.Errorf("%+v: withdrawn at once %t, later %t", c.lost, c.lost.shouldWithdraw(), c.lost.canWithdrawLater())
		}
	}
}

// TestWithdrawalOfEarlierVersion sends a withdrawal to an exit that answers as one does
// that does not know the header, to one that does not answer, and to one that ends. It
// guards against other connections that are closed because of that.
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
		idle, err := attempt.upstream.peer.pool.open(t.Context(), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		idle.putBack()
		if got := n.proxy.withdraw(t.Context(), attempt); got != withdrawalUnknown {
			t.Errorf("%s: %q, want unknown", name, got)
		}
		if attempt.upstream.peer.pool.takeIdle(time.Now(), poolIdleTimeout) == nil {
			t.Errorf("%s: the withdrawal closed an idle connection", name)
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

// TestNoRunAfterWithdrawal withdraws attempts at random times around their arrival and
// the start of their run. It guards against a run of an attempt that was withdrawn, and
// against "withdrawn" for one that ran.
func TestNoRunAfterWithdrawal(t *testing.T) {
	const attempts = 600
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	counter := &runCounter{}
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 4, serve(t, &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counter.ServeHTTP(w, r)
		time.Sleep(2 * time.Millisecond)
	})}))
	m.update()
	if got := call(t.Context(), http.MethodPost, n.entry+"/pairings", "", ""); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	results := make([]withdrawalResult, attempts)
	isRefused := make([]bool, attempts)
	var done sync.WaitGroup
	limit := make(chan struct{}, 16)
	for i := range attempts {
		limit <- struct{}{}
		a := testAttempt(t, n, n.proxy.nextAttemptID())
		a.request.Header.Set("X-Number", fmt.Sprint(i))
		sendAfter, withdrawAfter := time.Duration(random.IntN(2000))*time.Microsecond, time.Duration(random.IntN(8000))*time.Microsecond
		var both sync.WaitGroup
		both.Go(func() {
			time.Sleep(sendAfter)
			_, refused := n.proxy.exchange(t.Context(), a.request, a.upstream, a.candidate, a.id, abandonPolicy{})
			isRefused[i] = refused != nil
		})
		both.Go(func() {
			time.Sleep(withdrawAfter)
			results[i] = n.proxy.withdraw(t.Context(), a)
		})
		done.Go(func() {
			both.Wait()
			<-limit
		})
	}
	done.Wait()
	counts := make(map[withdrawalResult]int)
	for i, result := range results {
		counts[result]++
		runs := counter.runs[i].Load()
		if result == withdrawalWithdrawn && (runs != 0 || !isRefused[i]) {
			t.Errorf("attempt %d ran %d times, refused %t, after it was withdrawn", i, runs, isRefused[i])
		}
		if result == withdrawalStarted && runs != 1 {
			t.Errorf("attempt %d ran %d times although it was started", i, runs)
		}
	}
	if counts[withdrawalWithdrawn] == 0 || counts[withdrawalStarted] == 0 {
		t.Errorf("results %v, want both withdrawn and started ones", counts)
	}
	t.Logf("results %v", counts)
}

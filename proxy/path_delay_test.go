package proxy

import (
	"net/http"
	"testing"
	"time"
)

// TestSilenceLimit guards against connections that are given up because the link of this
// proxy delays everything, and against a lost peer that is waited for because the links of
// other peers, or of this proxy at an earlier time, were slow.
func TestSilenceLimit(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	unknown := pathState{sinceHeard: maxDuration}
	silent := func(silence time.Duration) pathState { return pathState{sinceHeard: maxDuration, silent: silence} }
	heard := func(ago, delay time.Duration) pathState {
		return pathState{isMeasured: true, delay: delay, sinceHeard: ago}
	}
	for name, c := range map[string]struct {
		peer   pathState
		others []pathState
		want   time.Duration
	}{
		"alone":                           {silent(800 * ms), nil, 800 * ms},
		"others have no call":             {silent(800 * ms), []pathState{unknown, unknown}, 800 * ms},
		"others answer at once":           {silent(800 * ms), []pathState{heard(100*ms, 0), silent(700 * ms)}, 800 * ms},
		"another has just got a call":     {silent(800 * ms), []pathState{silent(100 * ms)}, 800 * ms},
		"all are silent":                  {silent(800 * ms), []pathState{silent(600 * ms), unknown}, 1600 * ms},
		"all others are late":             {silent(800 * ms), []pathState{heard(100*ms, 700*ms), heard(50*ms, 500*ms)}, 1300 * ms},
		"one other is late":               {silent(800 * ms), []pathState{heard(100*ms, 700*ms), heard(50*ms, ms)}, 801 * ms},
		"the peer itself was late":        {heard(900*ms, 300*ms), []pathState{heard(50*ms, 0)}, 1100 * ms},
		"all are silent after being late": {heard(900*ms, 300*ms), []pathState{heard(900*ms, 300*ms)}, 1100 * ms},
		"a delay is bounded":              {heard(900*ms, 5000*ms), nil, 2400 * ms},
	} {
		if got := silenceLimit(c.peer, c.others); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// TestPathMeter guards against delays that count the time for which the exit proxy held the
// call, that are too old, or that come from a peer that does not state that time.
func TestPathMeter(t *testing.T) {
	t.Parallel()
	var m pathMeter
	sent := time.Unix(100, 0)
	held := http.Header{headerHeld: {formatDuration(250 * time.Millisecond)}}
	m.begin(sent)
	m.record(sent.Add(time.Second), sent, http.Header{})
	if got := m.state(sent.Add(time.Second)); got.isMeasured || got.silent != time.Second {
		t.Errorf("without a statement: %+v", got)
	}
	m.record(sent.Add(time.Second), sent, held)
	if got := m.state(sent.Add(1200 * time.Millisecond)); !got.isMeasured || got.delay != 750*time.Millisecond || got.silent != 200*time.Millisecond {
		t.Errorf("after a statement: %+v", got)
	}
	m.end()
	if got := m.state(sent.Add(3 * time.Second)); got.isMeasured || got.silent != 0 {
		t.Errorf("after the retention: %+v", got)
	}
}

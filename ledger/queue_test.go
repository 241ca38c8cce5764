package ledger

import (
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestQueuedDataIsBounded guards against messages of strangers that wait with all of their data,
// and against a large message that never gets into an empty queue.
func TestQueuedDataIsBounded(t *testing.T) {
	t.Parallel()
	l := &Ledger{messages: make(chan Message, messageQueueSize)}
	message := func(size int) Message {
		return Message{Body: Append{Entries: []hornbeamwell.LedgerEntry{{Data: make([]byte, size)}}}}
	}
	if !l.enqueue(message(2 * maxQueuedBytes)) {
		t.Error("a large message is refused although the queue is empty")
	}
	if l.enqueue(message(smallMessage)) {
		t.Error("a message is accepted behind a larger one than fits")
	}
	if !l.enqueue(message(smallMessage-1)) || !l.enqueue(Message{Body: Heartbeat{}}) {
		t.Error("a small message or a heartbeat is refused")
	}
	for len(l.messages) > 0 {
		m := <-l.messages
		l.queuedBytes.Add(-m.dataBytes())
	}
	accepted := 0
	for l.enqueue(message(1 << 20)) {
		accepted++
	}
	if accepted != maxQueuedBytes>>20 {
		t.Errorf("%d messages of 1 MiB are accepted", accepted)
	}
}

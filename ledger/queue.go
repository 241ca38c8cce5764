package ledger

const (
	// maxQueuedBytes bounds the data of the messages in the queue, besides one that is larger.
	// Any process may send messages.
	maxQueuedBytes = 4 << 20
	// smallMessage is the size of data below which only the number of messages is bounded, so
	// that heartbeats and replies get past large messages.
	smallMessage = 4 << 10
)

// dataBytes returns the size of the data that a message carries.
func (m *Message) dataBytes() int64 {
	switch body := m.Body.(type) {
	case Append:
		return int64(dataBytes(body.Entries))
	case SnapshotChunk:
		return int64(len(body.Data))
	default:
		return 0
	}
}

// enqueue adds a received message to the queue. It returns false if there is no room for it. The
// protocol tolerates that, as it does a message that is lost on the network.
func (l *Ledger) enqueue(m Message) bool {
	size := m.dataBytes()
	if queued := l.queuedBytes.Add(size); size >= smallMessage && queued > maxQueuedBytes && queued > size {
		l.queuedBytes.Add(-size)
		return false
	}
	select {
	case l.messages <- m:
		return true
	default:
		l.queuedBytes.Add(-size)
		return false
	}
}

// stepMessage handles a message that was taken from the queue.
func (l *Ledger) stepMessage(m Message) {
	l.queuedBytes.Add(-m.dataBytes())
	l.step(messageEvent{message: m})
}

package delivery

import "slices"

const (
	// maxConfigHistory is the number of configurations from which a source can
	// send changes to a subscriber that reconnects.
	maxConfigHistory = 512
	// maxPresenceHistory is the same limit for versions of the targets' presence.
	maxPresenceHistory = 256
	// defaultHistoryBytes bounds the memory of each of the two histories where the options
	// of a source do not.
	defaultHistoryBytes = 8 << 20
)

// sized is a value that knows the memory that only it takes.
type sized[T any] interface {
	// bytesBeside returns the memory that would be free without the value while the next
	// version of it is kept, nil if there is none.
	bytesBeside(next T) int
}

// history holds the most recent versions of a stream. It is bounded by their number and their
// memory, but has at least the last one.
type history[T sized[T]] struct {
	limit, limitBytes int
	// entries are ordered by version.
	entries []historyEntry[T]
	// bytes is the sum of those of the entries.
	bytes int
}

type historyEntry[T any] struct {
	version uint64
	value   T
	// bytes is the memory that the entry takes beside the next one.
	bytes int
}

func newHistory[T sized[T]](limit, limitBytes int) *history[T] {
	return &history[T]{limit: limit, limitBytes: limitBytes}
}

// add stores the version, which must be higher than all before, and evicts the
// oldest versions above the limits.
func (h *history[T]) add(version uint64, value T) {
	if len(h.entries) > 0 {
		last := &h.entries[len(h.entries)-1]
		h.bytes -= last.bytes
		last.bytes = last.value.bytesBeside(value)
		h.bytes += last.bytes
	}
	var none T
	entry := historyEntry[T]{version: version, value: value, bytes: value.bytesBeside(none)}
	h.entries = append(h.entries, entry)
	h.bytes += entry.bytes
	evicted := 0
	for evicted < len(h.entries)-1 && (len(h.entries)-evicted > h.limit || h.bytes > h.limitBytes) {
		h.bytes -= h.entries[evicted].bytes
		evicted++
	}
	h.entries = slices.Delete(h.entries, 0, evicted)
}

func (h *history[T]) get(version uint64) (T, bool) {
	for _, entry := range slices.Backward(h.entries) {
		if entry.version == version {
			return entry.value, true
		}
	}
	var none T
	return none, false
}

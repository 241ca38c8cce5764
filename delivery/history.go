package delivery

const (
	// maxConfigHistory is the number of configurations from which a source can
	// send changes to a subscriber that reconnects.
	maxConfigHistory = 512
	// maxPresenceHistory is the same limit for versions of the targets' presence.
	maxPresenceHistory = 256
)

// history holds the most recent versions of a stream by version number.
type history[T any] struct {
	limit int
	// order holds the version numbers, oldest first.
	order    []uint64
	versions map[uint64]T
}

func newHistory[T any](limit int) *history[T] {
	return &history[T]{limit: limit, versions: map[uint64]T{}}
}

// add stores the version, which must be higher than all before, and evicts the
// oldest version above the limit.
func (h *history[T]) add(version uint64, value T) {
	h.order = append(h.order, version)
	h.versions[version] = value
	if len(h.order) > h.limit {
		delete(h.versions, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history[T]) get(version uint64) (T, bool) {
	value, found := h.versions[version]
	return value, found
}

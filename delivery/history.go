package delivery

const (
	// editionsKept bounds the configurations that a source can send changes
	// from to a subscriber that comes back.
	editionsKept = 512
	// rollsKept is the same for the presence of targets.
	rollsKept = 256
)

// history holds the last versions of a stream by number.
type history[T any] struct {
	limit    int
	order    []uint64
	versions map[uint64]T
}

func newHistory[T any](limit int) *history[T] {
	return &history[T]{limit: limit, versions: map[uint64]T{}}
}

// add keeps the version, which is higher than those before, and lets go of the
// oldest above the limit.
func (h *history[T]) add(version uint64, value T) {
	h.order = append(h.order, version)
	h.versions[version] = value
	if len(h.order) > h.limit {
		delete(h.versions, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history[T]) at(version uint64) (T, bool) {
	value, found := h.versions[version]
	return value, found
}

package connection

import (
	"cmp"
	"slices"
	"time"
)

// slowAfter is the time after which a connection that has not sent its request, or does not
// go on with it, or does not read its response, counts as slow. Callers inside the limits
// that are not stalled send a head within it.
const slowAfter = time.Second

// activeAfter is the time without a message for which a connection between processes still
// counts as active. They send heartbeats more often.
const activeAfter = 15 * time.Second

// candidate is a connection and its state.
type candidate struct {
	snapshot
	conn *Conn
}

// order is the order in which connections are closed to make room: those of a lower class
// first, and of one class those with the earliest change.
type order struct {
	class int
	since time.Duration
}

// The classes. Connections of classKept are not closed.
const (
	classSlowHead = iota
	classIdle
	classHead
	classSlowBody
	classUnread
	classKept
)

// roomOrder returns when the connection is closed to make room.
func (s snapshot) roomOrder(now time.Duration) order {
	age := now - s.since
	switch {
	case s.stage == StageHead && age >= slowAfter:
		return order{classSlowHead, s.since}
	case s.stage == StageIdle && (s.protocol != Messages || age >= activeAfter):
		return order{classIdle, s.since}
	case s.stage == StageHead:
		return order{classHead, s.since}
	case s.stage == StageBody && age >= slowAfter:
		return order{classSlowBody, s.since}
	case s.writingSince > 0 && now-s.writingSince >= slowAfter:
		return order{classUnread, s.writingSince}
	default:
		return order{class: classKept}
	}
}

// chooseForRoom returns at most n connections to close to make room for new ones.
func chooseForRoom(now time.Duration, candidates []candidate, n int) []*Conn {
	type ranked struct {
		order
		conn *Conn
	}
	all := make([]ranked, 0, len(candidates))
	for _, c := range candidates {
		if o := c.roomOrder(now); o.class != classKept {
			all = append(all, ranked{o, c.conn})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.since, b.since))
	})
	chosen := make([]*Conn, 0, n)
	for _, r := range all[:min(n, len(all))] {
		chosen = append(chosen, r.conn)
	}
	return chosen
}

// freeing is the order in which connections are closed to free memory: those that hold more
// than an idle one first, and of these those of a larger weight.
type freeing struct {
	isLarge bool
	weight  float64
}

// memoryOrder returns when the connection is closed to free memory. The weight is 0 if it is
// kept. It grows with what the connection holds and with the time for which it has held it, so
// that a large request that makes progress outlasts those that stall.
func (s snapshot) memoryOrder(now time.Duration) freeing {
	isUnread := s.writingSince > 0 && now-s.writingSince >= slowAfter
	isIdle := s.stage == StageIdle && (s.protocol != Messages || now-s.since >= activeAfter)
	if s.stage != StageHead && s.stage != StageBody && !s.isMultiplexed && !isUnread && !isIdle {
		return freeing{}
	}
	idle := int64(connectionBytes + smallRequest)
	if s.isMultiplexed {
		idle += multiplexedBytes
	}
	const minAge = 10 * time.Millisecond
	return freeing{isLarge: s.held > idle, weight: float64(s.held) * (now - s.began + minAge).Seconds()}
}

// chooseForMemory returns connections to close that together hold at least the excess, or as
// many as there are.
func chooseForMemory(now time.Duration, candidates []candidate, excess int64) []*Conn {
	type ranked struct {
		freeing
		held int64
		conn *Conn
	}
	all := make([]ranked, 0, len(candidates))
	for _, c := range candidates {
		if f := c.memoryOrder(now); f.weight > 0 {
			all = append(all, ranked{f, c.held, c.conn})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.isLarge != b.isLarge {
			if a.isLarge {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	var chosen []*Conn
	for _, r := range all {
		if excess <= 0 {
			break
		}
		chosen = append(chosen, r.conn)
		excess -= r.held
	}
	return chosen
}

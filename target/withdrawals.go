package target

import (
	"time"
)

const (
	// withdrawalRetention is the time for which a withdrawal is remembered.
	withdrawalRetention = goneRetention
	// maxWithdrawals bounds the number of withdrawals that are remembered.
	maxWithdrawals = 64
)

// withdrawals are the recent withdrawals of named targets. The last announcements of a
// target may arrive after its withdrawal.
type withdrawals map[string]withdrawal

type withdrawal struct {
	at time.Time
	// incarnation is the last incarnation that has withdrawn. If the target is unknown or
	// gives no incarnation, it is the time in ms since 1970, which later starts exceed.
	incarnation uint64
	// isUnnumbered is true if the target is known to give no incarnation.
	isUnnumbered bool
}

// add records the withdrawal and forgets those that are too old or too many.
func (w withdrawals) add(name string, added withdrawal) {
	w[name] = added
	oldest := name
	for other, known := range w {
		switch {
		case added.at.Sub(known.at) >= withdrawalRetention:
			delete(w, other)
		case known.at.Before(w[oldest].at):
			oldest = other
		}
	}
	if len(w) > maxWithdrawals {
		delete(w, oldest)
	}
}

// covers reports whether the announcement is of a target that has withdrawn. One without
// an incarnation can't be told from that of a new start where the target never gives one.
func (w withdrawals) covers(now time.Time, announcement Announcement) bool {
	known, found := w[announcement.Name]
	if !found || now.Sub(known.at) >= withdrawalRetention {
		return false
	}
	if known.isUnnumbered && announcement.Incarnation == 0 {
		return now.Sub(known.at) < sequenceDoubt
	}
	return announcement.Incarnation <= known.incarnation
}

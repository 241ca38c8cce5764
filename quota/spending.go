package quota

import "time"

func (t *entryTeam) spend(now time.Time) bool {
	t.expire(now)
	if len(t.held) == 0 {
		return false
	}
	t.held[0].count--
	if t.held[0].count == 0 {
		t.held = t.held[1:]
	}
	t.counts.Spent++
	return true
}

// expire moves the tokens that were held too long to those that are returned.
func (t *entryTeam) expire(now time.Time) {
	for len(t.held) > 0 && !now.Before(t.held[0].expires) {
		t.counts.Expired += t.held[0].count
		if t.held[0].owner == t.owner {
			t.toReturn += t.held[0].count
		}
		t.held = t.held[1:]
	}
}

func (t *entryTeam) heldCount() int {
	count := 0
	for _, h := range t.held {
		count += h.count
	}
	return count
}

// spendOwn lets a call through at the stated rate while the owner is in reach. During a
// request nothing accrues, since the owner doesn't set it aside.
func (e *Entry) spendOwn(now time.Time, team *entryTeam) bool {
	if team.state == EntryAlone || !team.hasOwnRate(now) {
		return false
	}
	e.accrueOwn(now, team)
	if team.credit < 1 {
		return false
	}
	team.credit--
	team.spentAlone++
	team.counts.Spent++
	return true
}

func (t *entryTeam) hasOwnRate(now time.Time) bool {
	return t.rate >= minOwnRate && now.Before(t.repliedAt.Add(aloneTime))
}

func (e *Entry) accrueOwn(now time.Time, team *entryTeam) {
	if link := e.links[team.owner]; link == nil || link.inFlight {
		return
	}
	rate := aloneFraction * min(team.rate, team.quota.PerSecond)
	team.credit = min(team.credit+rate*max(now.Sub(team.creditAt), 0).Seconds(), depth(team.rate))
	team.creditAt = now
}

// kept returns the calls that the entry may let through at once when it sends a request.
func (e *Entry) kept(now time.Time, team *entryTeam) float64 {
	if team.state == EntryAlone || !team.hasOwnRate(now) {
		return 0
	}
	e.accrueOwn(now, team)
	return team.credit
}

// spendAlone lets a call through while the owner is out of reach: at the rate that the
// owner granted until aloneTime after its last reply, then from the reserve.
func (e *Entry) spendAlone(now time.Time, team *entryTeam) bool {
	reserve := e.bounds.reserveRate(team.quota, e.ring.Size())
	atRateUntil := team.repliedAt.Add(aloneTime)
	atRate := max(min(now.Sub(team.creditAt), atRateUntil.Sub(team.creditAt)), 0)
	inReserve := max(now.Sub(team.creditAt)-atRate, 0)
	rate := aloneFraction * min(team.rate, team.quota.PerSecond)
	team.credit += rate*atRate.Seconds() + reserve*inReserve.Seconds()
	burst := max(rate/2, 1)
	if !now.Before(atRateUntil) {
		burst = 1
	}
	team.credit = min(team.credit, burst)
	team.creditAt = now
	if team.credit < 1 {
		return false
	}
	team.credit--
	team.spentAlone++
	team.counts.SpentAlone++
	return true
}

// Return takes back the token of a call that did not run.
func (e *Entry) Return(now time.Time, name string) {
	team := e.teams[name]
	if team == nil {
		return
	}
	team.counts.Returned++
	if team.state == EntryAlone {
		team.credit = min(team.credit+1, max(team.rate, 1))
		team.spentAlone = max(team.spentAlone-1, 0)
		return
	}
	team.held = append(team.held, heldTokens{owner: team.owner, count: 1, expires: now.Add(minHold)})
}

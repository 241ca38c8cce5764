package quota

import "time"

// Request is what an entry sends to an owner: one batch for all teams of that owner.
type Request struct {
	// Entry is the entry's id, unique among all processes there ever were.
	Entry string
	// Sequence increases with each request of the entry to any owner. It is 0 in a request
	// that only asks for a reply, without teams. Acknowledged is the sequence of the last
	// request to this owner whose reply the entry took.
	Sequence, Acknowledged uint64
	Teams                  []TeamRequest
}

// TeamRequest is the part of a request that is about one team.
type TeamRequest struct {
	Team string
	// Want is the number of tokens that the entry asks for, Returned the number of
	// tokens of this owner that it gives back.
	Want, Returned int
	// SpentAlone is the number of calls let through without a token of the owner
	// since its last reply: at the stated rate or from the reserve.
	SpentAlone int
	// Kept is the number of calls, with a fraction, that the entry may let through at once
	// at the stated rate.
	Kept float64
	// Recent is the rate that the last owner granted, in tokens per second.
	Recent float64
	// RecentTotal is the sum of the rates that the last owner stated to all entries. It
	// is 0 if the owner did not state it.
	RecentTotal float64
}

// Reply is the owner's reply to a request.
type Reply struct {
	Sequence uint64
	Teams    []TeamReply
}

// TeamReply is the part of a reply that is about one team.
type TeamReply struct {
	Team string
	// IsOwner is false if the proxy that replies does not own the team.
	IsOwner bool
	Granted int
	// Wait is the time for which the entry shall not ask again, 0 if all tokens that
	// it wanted were granted.
	Wait time.Duration
	// Rate is the rate, per second, at which the entry may spend without asking: at 0.8 of it
	// until aloneTime after this reply.
	Rate float64
	// TotalRate is the sum of the rates at which all entries may spend alone.
	TotalRate float64
	// IsCutOff is true if the owner takes itself to be cut off from most members. Then the
	// rate of its last reply holds no more. An earlier version takes the reply for one of a
	// proxy that does not own the team.
	IsCutOff bool
}

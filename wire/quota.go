package wire

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell/quota"
)

// QuotaRequest is the JSON form of a quota.Request.
type QuotaRequest struct {
	Entry        string             `json:"entry"`
	Sequence     uint64             `json:"sequence"`
	Acknowledged uint64             `json:"acknowledged"`
	Teams        []QuotaTeamRequest `json:"teams"`
}

// QuotaTeamRequest is the JSON form of a quota.TeamRequest.
type QuotaTeamRequest struct {
	Team       string  `json:"team"`
	Want       int     `json:"want,omitempty"`
	Returned   int     `json:"returned,omitempty"`
	SpentAlone int     `json:"spent_alone,omitempty"`
	Kept       float64 `json:"kept,omitempty"`
	Recent     float64 `json:"recent,omitempty"`
	// RecentTotal is unknown to earlier versions.
	RecentTotal float64 `json:"recent_total,omitempty"`
}

// QuotaReply is the JSON form of a quota.Reply.
type QuotaReply struct {
	Sequence uint64           `json:"sequence"`
	Teams    []QuotaTeamReply `json:"teams"`
}

// QuotaTeamReply is the JSON form of a quota.TeamReply.
type QuotaTeamReply struct {
	Team       string  `json:"team"`
	IsOwner    bool    `json:"owner"`
	Granted    int     `json:"granted,omitempty"`
	WaitMicros int64   `json:"wait_us,omitempty"`
	Rate       float64 `json:"rate,omitempty"`
	// TotalRate is unknown to earlier versions.
	TotalRate float64 `json:"total_rate,omitempty"`
	// IsCutOff is unknown to earlier versions.
	IsCutOff bool `json:"cut_off,omitempty"`
}

// maxQuotaWait bounds the wait in a reply, which is far shorter.
const maxQuotaWait = time.Minute

// FromQuotaRequest maps a request to its JSON form.
func FromQuotaRequest(r quota.Request) QuotaRequest {
	return QuotaRequest{
		Entry: r.Entry, Sequence: r.Sequence, Acknowledged: r.Acknowledged,
		Teams: mapSlice(r.Teams, func(t quota.TeamRequest) QuotaTeamRequest { return QuotaTeamRequest(t) }),
	}
}

// ToQuotaRequest maps the JSON form to a request.
func (r QuotaRequest) ToQuotaRequest() quota.Request {
	return quota.Request{
		Entry: r.Entry, Sequence: r.Sequence, Acknowledged: r.Acknowledged,
		Teams: mapSlice(r.Teams, func(t QuotaTeamRequest) quota.TeamRequest { return quota.TeamRequest(t) }),
	}
}

// FromQuotaReply maps a reply to its JSON form.
func FromQuotaReply(r quota.Reply) QuotaReply {
	return QuotaReply{Sequence: r.Sequence, Teams: mapSlice(r.Teams, func(t quota.TeamReply) QuotaTeamReply {
		return QuotaTeamReply{Team: t.Team, IsOwner: t.IsOwner, Granted: t.Granted, WaitMicros: t.Wait.Microseconds(), Rate: t.Rate, TotalRate: t.TotalRate, IsCutOff: t.IsCutOff}
	})}
}

// ToQuotaReply maps the JSON form to a reply.
func (r QuotaReply) ToQuotaReply() quota.Reply {
	return quota.Reply{Sequence: r.Sequence, Teams: mapSlice(r.Teams, func(t QuotaTeamReply) quota.TeamReply {
		return quota.TeamReply{
			Team: t.Team, IsOwner: t.IsOwner, Granted: t.Granted, Rate: t.Rate, TotalRate: t.TotalRate, IsCutOff: t.IsCutOff,
			Wait: time.Duration(min(max(t.WaitMicros, 0), maxQuotaWait.Microseconds())) * time.Microsecond,
		}
	})}
}

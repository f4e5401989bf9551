package quotarpc

import (
	"math"
	"time"

	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
)

// maxMessageDuration is the longest duration that a message can carry; longer ones are cut to it.
const maxMessageDuration = time.Minute

// leaseRequestToProto converts a request, except for the call id, which the caller sets.
func leaseRequestToProto(request quota.LeaseRequest) *quotapb.LeaseRequest {
	message := &quotapb.LeaseRequest{
		Node:        request.Limiter.Node,
		Incarnation: request.Limiter.Incarnation,
		Sequence:    request.Sequence,
		Leaving:     request.Leaving,
		Complete:    request.Complete,
		Demands:     make([]*quotapb.Demand, 0, len(request.Demands)),
	}
	for _, demand := range request.Demands {
		message.Demands = append(message.Demands, &quotapb.Demand{
			Tenant:        demand.Tenant,
			RatePerSecond: demand.RatePerSecond,
			Held:          shareToProto(demand.Held),
			Waiting:       countToProto(demand.Waiting),
		})
	}
	return message
}

// leaseRequestFromProto is the inverse of leaseRequestToProto.
func leaseRequestFromProto(message *quotapb.LeaseRequest) quota.LeaseRequest {
	request := quota.LeaseRequest{
		Limiter:  quota.LimiterID{Node: message.GetNode(), Incarnation: message.GetIncarnation()},
		Sequence: message.GetSequence(),
		Leaving:  message.GetLeaving(),
		Complete: message.GetComplete(),
		Demands:  make([]quota.Demand, 0, len(message.GetDemands())),
	}
	for _, demand := range message.GetDemands() {
		request.Demands = append(request.Demands, quota.Demand{
			Tenant:        demand.GetTenant(),
			RatePerSecond: demand.GetRatePerSecond(),
			Held:          shareFromProto(demand.GetHeld()),
			Waiting:       int(demand.GetWaiting()),
		})
	}
	return request
}

// leaseReplyToProto converts a reply. The TTL is rounded down, so that a lease expires early rather than late.
func leaseReplyToProto(call uint32, reply quota.LeaseReply) *quotapb.LeaseReply {
	message := &quotapb.LeaseReply{
		Call:     call,
		Sequence: reply.Sequence,
		TtlMs:    uint64(max(0, reply.TTL) / time.Millisecond),
		Learning: reply.Learning,
		Rejected: reply.Rejected,
		Grants:   make([]*quotapb.Grant, 0, len(reply.Grants)),
	}
	for _, grant := range reply.Grants {
		message.Grants = append(message.Grants, &quotapb.Grant{
			Tenant: grant.Tenant,
			Share:  shareToProto(grant.Share),
			Tokens: countToProto(grant.Tokens),
		})
	}
	return message
}

// leaseReplyFromProto is the inverse of leaseReplyToProto.
func leaseReplyFromProto(message *quotapb.LeaseReply) quota.LeaseReply {
	reply := quota.LeaseReply{
		Sequence: message.GetSequence(),
		TTL:      durationFromMilliseconds(message.GetTtlMs()),
		Learning: message.GetLearning(),
		Rejected: message.GetRejected(),
		Grants:   make([]quota.Grant, 0, len(message.GetGrants())),
	}
	for _, grant := range message.GetGrants() {
		reply.Grants = append(reply.Grants, quota.Grant{
			Tenant: grant.GetTenant(),
			Share:  shareFromProto(grant.GetShare()),
			Tokens: int(grant.GetTokens()),
		})
	}
	return reply
}

// shareToProto converts a share. A zero share is omitted from the message.
func shareToProto(share quota.Share) *quotapb.Share {
	if share.IsZero() {
		return nil
	}
	return &quotapb.Share{Fraction: share.Fraction, Extra: countToProto(share.Extra)}
}

func shareFromProto(message *quotapb.Share) quota.Share {
	return quota.Share{Fraction: message.GetFraction(), Extra: int(message.GetExtra())}
}

// takeResultToProto converts the outcome of a call about requests.
func takeResultToProto(call uint32, taken TakeResult) *quotapb.TakeReply {
	return &quotapb.TakeReply{
		Call:         call,
		Admitted:     countToProto(taken.Admitted),
		Unavailable:  countToProto(taken.Unavailable),
		RetryAfterMs: uint32(min(max(0, taken.RetryAfter), maxMessageDuration) / time.Millisecond),
	}
}

// takeResultFromProto is the inverse of takeResultToProto for a call about count requests. A reply cannot admit more than count.
func takeResultFromProto(count int, message *quotapb.TakeReply) TakeResult {
	admitted := min(int(message.GetAdmitted()), count)
	unavailable := min(int(message.GetUnavailable()), count-admitted)
	return TakeResult{
		Admitted:    admitted,
		Unavailable: unavailable,
		OverLimit:   count - admitted - unavailable,
		RetryAfter:  durationFromMilliseconds(uint64(message.GetRetryAfterMs())),
	}
}

// countToProto converts a count; negative ones become 0.
func countToProto(count int) uint32 { return uint32(min(max(0, count), math.MaxInt32)) }

func durationFromMilliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxMessageDuration/time.Millisecond))) * time.Millisecond
}

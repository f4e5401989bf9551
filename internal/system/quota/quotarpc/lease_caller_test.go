package quotarpc

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
	"gradeusher.example/gradeusher/internal/testsupport/memorynet"
)

// allocationFunc implements quotapb.Allocation.
type allocationFunc func(request *quotapb.LeaseRequest) (*quotapb.LeaseReply, error)

func (f allocationFunc) Lease(_ context.Context, request *quotapb.LeaseRequest) (*quotapb.LeaseReply, error) {
	return f(request)
}

// scriptedNodes are control-plane nodes. Each refers callers to the owner set for it, or answers as the allocator if that is empty.
type scriptedNodes struct {
	owners map[string]string
	asked  []string
}

// newLeaseCaller returns a caller that follows node "n1".
func (n *scriptedNodes) newLeaseCaller(knobs TestingKnobs) *leaseCaller {
	network := memorynet.New(nil)
	for node := range n.owners {
		network.Set(node, quotapb.NewAllocationServer(allocationFunc(func(request *quotapb.LeaseRequest) (*quotapb.LeaseReply, error) {
			n.asked = append(n.asked, node)
			if n.owners[node] == "unavailable" {
				return nil, twirp.Unavailable.Error("none")
			}
			return &quotapb.LeaseReply{Call: request.GetCall(), Sequence: request.GetSequence(), Owner: n.owners[node]}, nil
		})))
	}
	return &leaseCaller{followed: func() string { return "n1" }, controlPlanePort: 1, http: &http.Client{Transport: network}, knobs: knobs}
}

// TestLeaseCallFindsTheAllocator checks that referrals are followed and that the allocator is cached until a call to it fails.
func TestLeaseCallFindsTheAllocator(t *testing.T) {
	nodes := &scriptedNodes{owners: map[string]string{"n1": "n2", "n2": "", "n3": ""}}
	caller := nodes.newLeaseCaller(TestingKnobs{})
	for _, step := range []struct {
		name   string
		owners map[string]string
		asked  []string
		err    bool
	}{
		{"the node followed refers", map[string]string{"n1": "n2", "n2": ""}, []string{"n1", "n2"}, false},
		{"the allocator is remembered", map[string]string{"n1": "n2", "n2": ""}, []string{"n2"}, false},
		{"it refers to its successor", map[string]string{"n1": "n2", "n2": "n3", "n3": ""}, []string{"n2", "n3"}, false},
		{"its successor has no authority", map[string]string{"n3": "unavailable"}, []string{"n3"}, true},
		{"it was forgotten", map[string]string{"n1": "n2", "n2": ""}, []string{"n1", "n2"}, false},
		{"nodes that refer to each other", map[string]string{"n1": "n2", "n2": "n1"}, []string{"n2", "n1", "n2", "n1"}, true},
	} {
		nodes.owners, nodes.asked = step.owners, nil
		_, err := caller.lease(t.Context(), quota.LeaseRequest{Sequence: 1})
		if !slices.Equal(nodes.asked, step.asked) || (err != nil) != step.err {
			t.Errorf("%s: nodes asked %v, want %v: error %v", step.name, nodes.asked, step.asked, err)
		}
	}
}

// TestMismatchedLeaseReplyIsRejected checks that a reply to another call grants no lease.
func TestMismatchedLeaseReplyIsRejected(t *testing.T) {
	for _, knobs := range []TestingKnobs{{}, {AcceptAnyReply: true}} {
		network := memorynet.New(map[string]http.Handler{"n1": quotapb.NewAllocationServer(allocationFunc(func(request *quotapb.LeaseRequest) (*quotapb.LeaseReply, error) {
			return &quotapb.LeaseReply{Call: request.GetCall() + 1}, nil
		}))})
		caller := &leaseCaller{followed: func() string { return "n1" }, controlPlanePort: 1, http: &http.Client{Transport: network}, knobs: knobs}
		_, err := caller.lease(t.Context(), quota.LeaseRequest{})
		if accepted := !errors.Is(err, rpc.ErrMismatchedReply); accepted != knobs.AcceptAnyReply {
			t.Errorf("knobs %+v: error %v", knobs, err)
		}
	}
}

// TestNoNodeIsFollowed checks that a lease call fails if no control-plane node is known.
func TestNoNodeIsFollowed(t *testing.T) {
	caller := &leaseCaller{followed: func() string { return "" }, http: &http.Client{Transport: memorynet.New(nil)}}
	if _, err := caller.lease(t.Context(), quota.LeaseRequest{}); !errors.Is(err, ErrAllocatorNotFound) {
		t.Error(err)
	}
}

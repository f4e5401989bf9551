package quotarpc

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/distribution/rpc"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotapb"
)

const (
	// leaseCallTimeout is the timeout of a lease call, including the referrals that it follows.
	leaseCallTimeout = 500 * time.Millisecond
	// maxReferrals is the maximum number of referrals that a lease call follows, because nodes may not agree on the owner yet.
	maxReferrals = 3
)

// ErrAllocatorNotFound is returned by lease calls that found no allocator.
var ErrAllocatorNotFound = errors.New("quota: no allocator was found; check that the control plane has a current node")

// leaseCaller calls the allocator. It learns the allocator's address from the
// control-plane node that the proxy follows, and caches it until a call fails.
type leaseCaller struct {
	followed         func() string // address of the control-plane node that the proxy follows; empty if none
	controlPlanePort int
	http             *http.Client
	callIDs          rpc.CallIDs
	knobs            TestingKnobs

	mu        sync.Mutex
	allocator string // address of the node that last answered as the allocator; empty if not known
}

// lease makes one lease call. If a node names another as the owner, the request is sent to that node.
func (c *leaseCaller) lease(ctx context.Context, request quota.LeaseRequest) (quota.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	message := leaseRequestToProto(request)
	address := c.firstAddress()
	for range maxReferrals + 1 {
		if address == "" {
			break
		}
		reply, err := c.call(ctx, address, message)
		if err != nil {
			c.cacheAllocator("")
			return quota.LeaseReply{}, err
		}
		if reply.GetOwner() == "" {
			c.cacheAllocator(address)
			return leaseReplyFromProto(reply), nil
		}
		address = reply.GetOwner()
	}
	c.cacheAllocator("")
	return quota.LeaseReply{}, ErrAllocatorNotFound
}

// call sends a request to one node and returns the reply, after checking that it is the reply to this request.
func (c *leaseCaller) call(ctx context.Context, address string, message *quotapb.LeaseRequest) (*quotapb.LeaseReply, error) {
	message.Call = c.callIDs.Next()
	reply, err := quotapb.NewAllocationProtobufClient(c.baseURL(address), c.http).Lease(ctx, message)
	if err != nil {
		return nil, err
	}
	if err := rpc.CheckReply(message.GetCall(), reply.GetCall()); err != nil && !c.knobs.AcceptAnyReply {
		c.http.CloseIdleConnections()
		return nil, err
	}
	return reply, nil
}

// baseURL returns the URL of a control-plane node, using the port of the address if it has one.
func (c *leaseCaller) baseURL(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return "http://" + address
	}
	return "http://" + net.JoinHostPort(address, strconv.Itoa(c.controlPlanePort))
}

// firstAddress returns the address of the node to ask first, empty if none is known.
func (c *leaseCaller) firstAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allocator != "" {
		return c.allocator
	}
	return c.followed()
}

// cacheAllocator caches the address of the allocator; empty means not known.
func (c *leaseCaller) cacheAllocator(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allocator = address
}

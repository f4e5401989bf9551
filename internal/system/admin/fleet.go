package admin

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
)

// Fleet combines the statuses of the nodes of the control plane.
type Fleet struct {
	Version   int             `json:"version"`
	Epoch     uint64          `json:"epoch"` // the newest of all answers
	Chain     []string        `json:"chain"` // of that epoch
	Voters    []Voter         `json:"voters"`
	Capacity  *Capacity       `json:"capacity,omitempty"` // as reported by a current node of that epoch; nil: no such node answered
	Number    uint64          `json:"number"`             // the newest committed record of all answers
	Revision  int64           `json:"revision"`           // after it
	Evacuated []string        `json:"evacuated"`
	Nodes     []NodeAnswer    `json:"keepers"` // by address
	Proxies   []Subscriber    `json:"proxies"` // by name
	Roles     []SingletonRole `json:"duties"`
	Unseen    []string        `json:"unseen"`          // live proxies that subscribe to none of the nodes that answered, sorted by name
	Quota     *QuotaStatus    `json:"quota,omitempty"` // as reported by the allocator of that epoch; nil: none answered
}

// NodeAnswer is the status of one node, or the error with which the request for it failed.
type NodeAnswer struct {
	Address string      `json:"address"` // control address
	Status  *NodeStatus `json:"status,omitempty"`
	Error   string      `json:"error,omitempty"`
}

// Subscriber is a proxy and the node to which it subscribes.
type Subscriber struct {
	ProxyProgress
	Server string `json:"keeper"` // node
}

// SingletonRole is a role that at most one node of the control plane has at a time.
type SingletonRole struct {
	Name  string `json:"name"`
	Owner string `json:"holder"` // IP; empty: none
}

// Fleet fetches the statuses of the nodes with the control addresses, and of the other voters that these name, at the port of the
// first address. Fleet.Nodes has an error for each node that did not answer. The call fails only if none answered, with an error
// marked ErrUnreachable.
func (c *Client) Fleet(ctx context.Context, addresses []string) (*Fleet, error) {
	answers := c.askNodes(ctx, addresses)
	if unasked := unaskedVoters(answers); len(unasked) > 0 {
		answers = append(answers, c.askNodes(ctx, unasked)...)
	}
	slices.SortFunc(answers, func(a, b NodeAnswer) int { return cmp.Compare(a.Address, b.Address) })
	fleet := mergeAnswers(answers)
	if !slices.ContainsFunc(answers, func(a NodeAnswer) bool { return a.Status != nil }) {
		return fleet, unreachableError(nil, "no keeper answers; the first says: %s", answers[0].Error)
	}
	return fleet, nil
}

// askNodes fetches the statuses of several nodes concurrently.
func (c *Client) askNodes(ctx context.Context, addresses []string) []NodeAnswer {
	answers := make([]NodeAnswer, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			answers[i].Address = address
			s, err := c.NodeStatus(ctx, address)
			if err != nil {
				answers[i].Error = strings.ReplaceAll(err.Error(), "\n", "; ")
				return
			}
			answers[i].Status = s
		})
	}
	wg.Wait()
	return answers
}

// unaskedVoters returns the control addresses of the voters of the view to which no request was sent.
func unaskedVoters(answers []NodeAnswer) []string {
	if len(answers) == 0 {
		return nil
	}
	asked := map[string]bool{}
	for _, a := range answers {
		host, _, _ := net.SplitHostPort(a.Address)
		asked[host] = true
	}
	_, port, _ := net.SplitHostPort(answers[0].Address)
	var unasked []string
	for _, v := range mergeAnswers(answers).Voters {
		if !asked[v.Address] {
			asked[v.Address] = true
			unasked = append(unasked, net.JoinHostPort(v.Address, port))
		}
	}
	return unasked
}

// mergeAnswers combines the answers of the nodes: the view of the newest epoch, the newest committed record, and each proxy once.
func mergeAnswers(answers []NodeAnswer) *Fleet {
	fleet := &Fleet{Version: Version, Chain: []string{}, Voters: []Voter{}, Evacuated: []string{}, Nodes: answers, Proxies: []Subscriber{},
		Roles: []SingletonRole{}, Unseen: []string{}}
	var statuses []*NodeStatus
	for _, a := range answers {
		if a.Status != nil {
			statuses = append(statuses, a.Status)
		}
	}
	if len(statuses) == 0 {
		return fleet
	}
	newest := slices.MaxFunc(statuses, func(a, b *NodeStatus) int { return cmp.Compare(a.Epoch, b.Epoch) })
	fleet.Epoch, fleet.Chain, fleet.Voters = newest.Epoch, newest.Chain, newest.Voters
	fleet.Roles = append(fleet.Roles, SingletonRole{Name: "list", Owner: newest.ListOwner})
	fleet.setQuota(statuses, newest)
	fleet.Capacity = chooseCapacity(statuses, newest.Epoch)
	latest := slices.MaxFunc(statuses, func(a, b *NodeStatus) int { return cmp.Compare(a.Number, b.Number) })
	fleet.Number, fleet.Revision, fleet.Evacuated = latest.Number, latest.Revision, slices.Sorted(slices.Values(latest.Evacuated))
	fleet.setProxies(statuses)
	return fleet
}

// setProxies sets the proxies that subscribe to one of the nodes, and the live ones that subscribe to none, both sorted by name.
func (f *Fleet) setProxies(statuses []*NodeStatus) {
	subscribers, live := map[string]Subscriber{}, map[string]bool{}
	for _, status := range statuses {
		for _, p := range status.Proxies {
			if known, ok := subscribers[p.Node]; !ok || p.isNewerThan(known.ProxyProgress) {
				subscribers[p.Node] = Subscriber{ProxyProgress: p, Server: status.Node}
			}
		}
		if status.Current {
			for _, m := range status.Members {
				live[m] = true
			}
		}
	}
	for node, p := range subscribers {
		f.Proxies = append(f.Proxies, p)
		delete(live, node)
	}
	slices.SortFunc(f.Proxies, func(a, b Subscriber) int { return cmp.Compare(a.Node, b.Node) })
	for node := range live {
		f.Unseen = append(f.Unseen, node)
	}
	slices.Sort(f.Unseen)
}

// isNewerThan reports whether one node's information about a proxy is newer than another's: a proxy that has moved to another node may
// still be listed by the node to which it subscribed before.
func (p ProxyProgress) isNewerThan(other ProxyProgress) bool {
	if p.SinceLastCallMS != other.SinceLastCallMS {
		return p.SinceLastCallMS < other.SinceLastCallMS
	}
	return p.Acknowledged > other.Acknowledged
}

// chooseCapacity returns the first capacity that a current node of the epoch reports. It prefers nodes with a disk to observers, which
// are in contact with the other nodes less often. It returns nil if no such node reports one.
func chooseCapacity(statuses []*NodeStatus, epoch uint64) *Capacity {
	var observed *Capacity
	for _, s := range statuses {
		switch {
		case !s.Current || s.Epoch != epoch || s.Capacity == nil:
		case !s.Observer:
			return s.Capacity
		case observed == nil:
			observed = s.Capacity
		}
	}
	return observed
}

// Current reports whether any node that answered is current, so that the system accepts changes there.
func (f *Fleet) Current() bool {
	return slices.ContainsFunc(f.Nodes, func(a NodeAnswer) bool { return a.Status != nil && a.Status.Current })
}

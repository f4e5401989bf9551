package admin

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
)

// Fleet is what the keepers that were asked say, put together.
type Fleet struct {
	Version   int             `json:"version"`
	Epoch     uint64          `json:"epoch"` // newest that a keeper tells
	Chain     []string        `json:"chain"` // of that epoch
	Voters    []Voter         `json:"voters"`
	Capacity  *Capacity       `json:"capacity,omitempty"` // as a current keeper of that epoch sees it; nil: none tells
	Number    uint64          `json:"number"`             // newest committed record that a keeper tells
	Revision  int64           `json:"revision"`           // after it
	Evacuated []string        `json:"evacuated"`
	Nodes     []NodeAnswer    `json:"keepers"` // by address
	Proxies   []Subscriber    `json:"proxies"` // by name
	Roles     []SingletonRole `json:"duties"`
	Unseen    []string        `json:"unseen"` // live proxies that follow none of the keepers that answered, by name
}

// NodeAnswer is what one keeper said, or why it did not.
type NodeAnswer struct {
	Address string      `json:"address"` // control address
	Status  *NodeStatus `json:"status,omitempty"`
	Error   string      `json:"error,omitempty"`
}

// Subscriber is a proxy, with the keeper that it follows.
type Subscriber struct {
	ProxyProgress
	Server string `json:"keeper"` // node
}

// SingletonRole is a piece of work that one keeper has at a time.
type SingletonRole struct {
	Name   string `json:"name"`
	Owner string `json:"holder"` // IP; empty: none
}

// Fleet asks the keepers with the control addresses, and those others of the view that they name, at the port of the first
// address. Who does not answer is told in Fleet.Keepers. It fails only when none answers, marked ErrUnreachable.
func (c *Client) Fleet(ctx context.Context, addresses []string) (*Fleet, error) {
	answers := c.askNodes(ctx, addresses)
	if more := unaskedVoters(answers); len(more) > 0 {
		answers = append(answers, c.askNodes(ctx, more)...)
	}
	slices.SortFunc(answers, func(a, b NodeAnswer) int { return cmp.Compare(a.Address, b.Address) })
	fleet := mergeAnswers(answers)
	if !slices.ContainsFunc(answers, func(a NodeAnswer) bool { return a.Status != nil }) {
		return fleet, unreachableError(nil, "no keeper answers; the first says: %s", answers[0].Error)
	}
	return fleet, nil
}

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

// unaskedVoters are the control addresses of the view's voters that were not asked.
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
	var more []string
	for _, v := range mergeAnswers(answers).Voters {
		if !asked[v.Address] {
			asked[v.Address] = true
			more = append(more, net.JoinHostPort(v.Address, port))
		}
	}
	return more
}

func mergeAnswers(answers []NodeAnswer) *Fleet {
	fleet := &Fleet{Version: Version, Chain: []string{}, Voters: []Voter{}, Evacuated: []string{}, Nodes: answers, Proxies: []Subscriber{},
		Roles: []SingletonRole{}, Unseen: []string{}}
	subscribers := map[string]Subscriber{}
	live := map[string]bool{}
	hasEpoch, hasRecord := false, false
	var listRole SingletonRole
	for _, a := range answers {
		status := a.Status
		if status == nil {
			continue
		}
		if !hasEpoch || status.Epoch > fleet.Epoch {
			hasEpoch = true
			fleet.Epoch, fleet.Chain, fleet.Voters = status.Epoch, status.Chain, status.Voters
			listRole = SingletonRole{Name: "list", Owner: status.ListOwner}
		}
		if !hasRecord || status.Number > fleet.Number {
			hasRecord = true
			fleet.Number, fleet.Revision, fleet.Evacuated = status.Number, status.Revision, slices.Sorted(slices.Values(status.Evacuated))
		}
		for _, p := range status.Proxies {
			// A proxy that has moved may still be on its former keeper's list.
			if old, ok := subscribers[p.Node]; !ok || p.SinceLastCallMS < old.SinceLastCallMS || p.SinceLastCallMS == old.SinceLastCallMS && p.Acknowledged > old.Acknowledged {
				subscribers[p.Node] = Subscriber{ProxyProgress: p, Server: status.Node}
			}
		}
		if status.Current {
			for _, m := range status.Members {
				live[m] = true
			}
		}
	}
	fleet.Capacity = chooseCapacity(answers, fleet.Epoch)
	if hasEpoch {
		fleet.Roles = append(fleet.Roles, listRole)
	}
	for node, p := range subscribers {
		fleet.Proxies = append(fleet.Proxies, p)
		delete(live, node)
	}
	slices.SortFunc(fleet.Proxies, func(a, b Subscriber) int { return cmp.Compare(a.Node, b.Node) })
	for node := range live {
		fleet.Unseen = append(fleet.Unseen, node)
	}
	slices.Sort(fleet.Unseen)
	return fleet
}

// chooseCapacity is the first that a current keeper of the epoch tells, one with a disk before observers: it hears the others
// more often.
func chooseCapacity(answers []NodeAnswer, epoch uint64) *Capacity {
	var observed *Capacity
	for _, a := range answers {
		switch s := a.Status; {
		case s == nil || !s.Current || s.Epoch != epoch || s.Capacity == nil:
		case !s.Observer:
			return s.Capacity
		case observed == nil:
			observed = s.Capacity
		}
	}
	return observed
}

// Current tells whether a keeper that answered is current: the system takes changes there.
func (f *Fleet) Current() bool {
	return slices.ContainsFunc(f.Nodes, func(a NodeAnswer) bool { return a.Status != nil && a.Status.Current })
}

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
	Holder string `json:"holder"` // IP; empty: none
}

// Fleet asks the keepers with the control addresses, and those others of the view that they name, at the port of the first
// address. Who does not answer is told in Fleet.Keepers. It fails only when none answers, marked ErrUnreachable.
func (c *Client) Fleet(ctx context.Context, addresses []string) (*Fleet, error) {
	answers := c.ask(ctx, addresses)
	if more := others(answers); len(more) > 0 {
		answers = append(answers, c.ask(ctx, more)...)
	}
	slices.SortFunc(answers, func(a, b NodeAnswer) int { return cmp.Compare(a.Address, b.Address) })
	f := merge(answers)
	if !slices.ContainsFunc(answers, func(a NodeAnswer) bool { return a.Status != nil }) {
		return f, unreached(nil, "no keeper answers; the first says: %s", answers[0].Error)
	}
	return f, nil
}

func (c *Client) ask(ctx context.Context, addresses []string) []NodeAnswer {
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

// others are the control addresses of the view's voters that were not asked.
func others(answers []NodeAnswer) []string {
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
	for _, v := range merge(answers).Voters {
		if !asked[v.Address] {
			asked[v.Address] = true
			more = append(more, net.JoinHostPort(v.Address, port))
		}
	}
	return more
}

func merge(answers []NodeAnswer) *Fleet {
	f := &Fleet{Version: Version, Chain: []string{}, Voters: []Voter{}, Evacuated: []string{}, Nodes: answers, Proxies: []Subscriber{},
		Roles: []SingletonRole{}, Unseen: []string{}}
	follows := map[string]Subscriber{}
	live := map[string]bool{}
	viewed, held := false, false
	var duty SingletonRole
	for _, a := range answers {
		s := a.Status
		if s == nil {
			continue
		}
		if !viewed || s.Epoch > f.Epoch {
			viewed = true
			f.Epoch, f.Chain, f.Voters = s.Epoch, s.Chain, s.Voters
			duty = SingletonRole{Name: "list", Holder: s.ListOwner}
		}
		if !held || s.Number > f.Number {
			held = true
			f.Number, f.Revision, f.Evacuated = s.Number, s.Revision, slices.Sorted(slices.Values(s.Evacuated))
		}
		for _, p := range s.Proxies {
			// A proxy that has moved may still be on its former keeper's list.
			if old, ok := follows[p.Node]; !ok || p.SinceLastCallMS < old.SinceLastCallMS || p.SinceLastCallMS == old.SinceLastCallMS && p.Acknowledged > old.Acknowledged {
				follows[p.Node] = Subscriber{ProxyProgress: p, Server: s.Node}
			}
		}
		if s.Current {
			for _, m := range s.Members {
				live[m] = true
			}
		}
	}
	f.Capacity = capacity(answers, f.Epoch)
	if viewed {
		f.Roles = append(f.Roles, duty)
	}
	for node, p := range follows {
		f.Proxies = append(f.Proxies, p)
		delete(live, node)
	}
	slices.SortFunc(f.Proxies, func(a, b Subscriber) int { return cmp.Compare(a.Node, b.Node) })
	for node := range live {
		f.Unseen = append(f.Unseen, node)
	}
	slices.Sort(f.Unseen)
	return f
}

// capacity is the first that a current keeper of the epoch tells, one with a disk before observers: it hears the others
// more often.
func capacity(answers []NodeAnswer, epoch uint64) *Capacity {
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

package hitters

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// State is the state of a client.
type State uint8

// The states of a client.
const (
	Quiet     State = iota // not tracked
	Suspected              // above the high threshold, but not for long enough yet
	Heavy                  // some of its requests are rejected while servers are full
	Cooling                // recently below the low threshold: not rejected, but heavy again immediately above the high one
)

var stateNames = [...]string{"quiet", "suspected", "heavy", "cooling"}

// String implements fmt.Stringer.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Client is a client in a state other than quiet, or one that has just become quiet.
type Client struct {
	Key           uint64
	Name          string  // the beginning of its name; "": this sidecar got no request from it since it became suspected
	State         State   // its current state
	Since         Time    // when it entered the state
	Share         float64 // lower bound of its share of the fleet's work
	ShareError    float64 // its share is at most Share + ShareError
	AdmittedShare float64 // share of its requests that is admitted while servers are full
	credit        float64 // towards the next admitted request
	rejecting     bool    // its requests are being rejected, until there is capacity for all of them
}

// creditSpread is the number of distinct initial credits of clients. They differ by sidecar so that sidecars do not admit
// requests in lockstep.
const creditSpread = 97

// setShare sets a client's share and its possible error.
func (c *Client) setShare(share float64, t tally, f fleet) {
	c.Share = share
	c.ShareError = float64(t.largestOther+f.err) / max(float64(f.total), 1)
}

// client returns the tracked client with a key, or a new quiet one that is not tracked.
func (d *Detector) client(key uint64) *Client {
	if i, held := d.find(key); held {
		return d.clients[i]
	}
	credit := float64((key^d.settings.Origin)%creditSpread) / creditSpread
	return &Client{Key: key, AdmittedShare: 1, credit: credit}
}

// heavyClient returns the client with a key if it is heavy, or nil.
func (d *Detector) heavyClient(key uint64) *Client {
	if i, held := d.find(key); held && d.clients[i].State == Heavy {
		return d.clients[i]
	}
	return nil
}

// storeClient adds or removes a client according to its new state. If there are too many clients, the one that has been
// cooling longest is removed.
func (d *Detector) storeClient(c *Client) {
	i, held := d.find(c.Key)
	switch {
	case held && c.State == Quiet:
		d.clients = slices.Delete(d.clients, i, i+1)
	case !held && len(d.clients) < maxClients:
		d.clients = slices.Insert(d.clients, i, c)
	case !held:
		if oldest := d.longestCooling(); oldest != nil {
			oldest.State = Quiet
			d.storeClient(oldest)
			d.storeClient(c)
		}
	}
}

func (d *Detector) longestCooling() (oldest *Client) {
	for _, c := range d.clients {
		if c.State == Cooling && (oldest == nil || c.Since < oldest.Since) {
			oldest = c
		}
	}
	return oldest
}

func (d *Detector) find(key uint64) (int, bool) {
	return slices.BinarySearchFunc(d.clients, key, func(c *Client, k uint64) int { return cmp.Compare(c.Key, k) })
}

// SetName sets the name of a tracked client for logs, unless it already has one.
func (d *Detector) SetName(key uint64, name string) {
	if i, held := d.find(key); held && d.clients[i].Name == "" {
		d.clients[i].Name = strings.ToValidUTF8(strings.Clone(name[:min(len(name), maxNameBytes)]), "")
	}
}

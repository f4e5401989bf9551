package hitters

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// State is what a client is taken for.
type State uint8

// The states of a client.
const (
	Quiet     State = iota // not held at all
	Suspected              // above the high threshold, but not for long enough
	Heavy                  // some of its requests are rejected while servers are full
	Cooling                // below the low threshold for a while: served as all, and heavy at once when above the high one
)

var stateNames = [...]string{"quiet", "suspected", "heavy", "cooling"}

// String implements fmt.Stringer.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Client is one that is, or until now was, in a state other than quiet.
type Client struct {
	Key           uint64
	Name          string  // the beginning of its name; "": no request of it came here since it is suspected
	State         State   // now
	Since         Time    // when it got there
	Share         float64 // of the fleet's work, at the least
	ShareError    float64 // its share is at most this much more
	AdmittedShare float64 // of its requests, while servers are full
	credit        float64 // towards the next admitted request
	rejecting     bool    // its rejections have begun, and there is no capacity for all of it yet
}

// creditSpread is the number of values that a new client's credit is drawn from, so that sidecars do not admit in step.
const creditSpread = 97

// setShare notes a client's share, of which there may be more than is sure.
func (c *Client) setShare(share float64, t tally, f fleet) {
	c.Share = share
	c.ShareError = float64(t.largestOther+f.err) / max(float64(f.total), 1)
}

// client returns the client that is held by a key, or a quiet one that is not.
func (d *Detector) client(key uint64) *Client {
	if i, held := d.find(key); held {
		return d.clients[i]
	}
	credit := float64((key^d.settings.Origin)%creditSpread) / creditSpread
	return &Client{Key: key, AdmittedShare: 1, credit: credit}
}

// heavyClient returns a client that is held as heavy, or nil.
func (d *Detector) heavyClient(key uint64) *Client {
	if i, held := d.find(key); held && d.clients[i].State == Heavy {
		return d.clients[i]
	}
	return nil
}

// storeClient holds a client by its new state. Where there is no room, the one that has been cooling longest is let go.
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

// SetName has a client that is held be known by its name in logs.
func (d *Detector) SetName(key uint64, name string) {
	if i, held := d.find(key); held && d.clients[i].Name == "" {
		d.clients[i].Name = strings.ToValidUTF8(strings.Clone(name[:min(len(name), maxNameBytes)]), "")
	}
}

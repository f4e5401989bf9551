// Package list is the list of servers in the platform's discovery form (PROTOCOL, "Discovery"): what registry nodes answer and
// clients read. It is values and checks, without I/O.
//
// Whoever reads a list refuses it as a whole where one entry is wrong: a list that is half read would have servers pass for
// removed. The keys of its JSON are the platform's; other keys are ignored, as later versions may add some.
package list

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"regexp"
	"strconv"
	"time"
)

// State is what a server is there for.
type State string

// The states of a server. Deleted appears only among changes.
const (
	Serving  State = "SERVING"
	Draining State = "DRAINING"
	Deleted  State = "DELETED"
)

// Bounds of what a server may say of itself.
const (
	MaxNameBytes = 128         // of a uid, an area or a model
	MaxCapacity  = 1e6         // of a capacity hint; the usual server has 1
	MinLease     = time.Second // shorter ones would end while a leader is elected
	MaxLease     = time.Hour   // longer ones would outlive whoever could repair them
	maxPodGroup  = math.MaxInt32
	// defaultCapacity is that of a server that gives no hint.
	defaultCapacity = 1.0
	maxBootMS       = int64(1) << 45 // the year 3084
)

// Bounds of what a list service says.
const (
	MaxListBytes      = 16 << 20            // of a complete list, or a line of a watch
	HeartbeatInterval = 2 * time.Second     // a watch says at least an empty line that often (PROTOCOL)
	AgeInterval       = time.Second         // one that says ages says one that often
	WatchTimeout      = 5 * AgeInterval / 2 // and is lost when it says nothing for so long
)

// Target is one server.
type Target struct {
	UID      string   `json:"uid"`
	Endpoint string   `json:"endpoint"` // IP address and port
	Zone     string   `json:"az"`
	Model    string   `json:"model"`
	PodGroup int      `json:"pod_group"`
	State    State    `json:"state"`
	Capacity *float64 `json:"capacity_hint,omitempty"` // left out: 1
	BootMS   int64    `json:"boot_ms"`                 // Unix time in ms; 0: long ago
}

// Differs tells whether another says anything else than t.
func (t Target) Differs(other Target) bool {
	if t.capacity() != other.capacity() {
		return true
	}
	t.Capacity, other.Capacity = nil, nil
	return t != other
}

// capacity is the hint, or that of a server that gives none.
func (t Target) capacity() float64 {
	if t.Capacity == nil {
		return defaultCapacity
	}
	return *t.Capacity
}

// List is what a list service says at once: all servers, or those that changed since what it said before.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
	// Besides the platform's form, and ignored by its readers:
	Cluster string `json:"cluster,omitempty"` // whose revisions these are; "": not given
	AgeMS   *int64 `json:"age_ms,omitempty"`  // how long ago the answering node last knew itself up to date; nil: not given
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

var (
	// ErrNoUID says that a server has no id.
	ErrNoUID = errors.New("uid is missing")
	// ErrNoRevision says that a list has no revision, or a negative one.
	ErrNoRevision = errors.New("list: no revision")
)

// CheckUID returns why a text cannot be the id of a server.
func CheckUID(uid string) error {
	switch {
	case uid == "":
		return ErrNoUID
	case len(uid) > MaxNameBytes || !namePattern.MatchString(uid):
		return fmt.Errorf("uid %.40q: at most %d letters, digits and ._:- are possible, the first a letter or digit", uid, MaxNameBytes)
	}
	return nil
}

// Check returns why no list may have a server.
func (t Target) Check() error {
	if err := CheckUID(t.UID); err != nil {
		return err
	}
	if t.State != Serving && t.State != Draining && t.State != Deleted {
		return fmt.Errorf("%s: unknown state %.40q", t.UID, t.State)
	}
	if t.State != Deleted || t.Endpoint != "" {
		if err := CheckAddress(t.Endpoint); err != nil {
			return fmt.Errorf("%s: endpoint: %w", t.UID, err)
		}
	}
	switch {
	case len(t.Zone) > MaxNameBytes || len(t.Model) > MaxNameBytes:
		return fmt.Errorf("%s: az and model hold %d bytes at most", t.UID, MaxNameBytes)
	case t.PodGroup < 0 || t.PodGroup > maxPodGroup:
		return fmt.Errorf("%s: pod_group %d is not within 0 to %d", t.UID, t.PodGroup, maxPodGroup)
	case t.Capacity != nil && !(*t.Capacity >= 0 && *t.Capacity <= MaxCapacity):
		return fmt.Errorf("%s: capacity_hint %v is not within 0 to %v", t.UID, *t.Capacity, MaxCapacity)
	case t.BootMS < 0 || t.BootMS > maxBootMS:
		return fmt.Errorf("%s: boot_ms %d is no Unix time in milliseconds", t.UID, t.BootMS)
	}
	return nil
}

// Registration is what a server says of itself.
type Registration struct {
	Target
	LeaseMS int64 `json:"lease_ms,omitempty"` // it is drained when it does not renew for so long; 0: never
}

// Check returns why no registry node takes a registration.
func (r Registration) Check() error {
	if r.State != Serving {
		if r.State == Draining || r.State == Deleted {
			return fmt.Errorf("%s: a server registers as %s", r.UID, Serving)
		}
		return r.Target.Check()
	}
	if err := r.Target.Check(); err != nil {
		return err
	}
	if r.LeaseMS != 0 && !r.hasValidLease() {
		return fmt.Errorf("%s: lease_ms %d is neither 0 nor within %d to %d", r.UID, r.LeaseMS, MinLease.Milliseconds(), MaxLease.Milliseconds())
	}
	return nil
}

// hasValidLease tells whether a lease is within its bounds. A number that overflows a duration is above them.
func (r Registration) hasValidLease() bool {
	lease := time.Duration(r.LeaseMS) * time.Millisecond
	return lease >= MinLease && lease <= MaxLease && r.LeaseMS <= MaxLease.Milliseconds()
}

// CheckAddress returns why a text is no IP address and port.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%.60q is no address and port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || net.ParseIP(host) == nil {
		return fmt.Errorf("%.60q is no IP address and port", address)
	}
	return nil
}

// Parse reads a list. One that is wrong in an entry is wrong.
func Parse(text []byte) (List, error) {
	var form struct {
		List
		Rev *int64 `json:"rev"`
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if form.Rev == nil || *form.Rev < 0 {
		return List{}, ErrNoRevision
	}
	form.List.Rev = *form.Rev
	seen := make(map[string]bool, len(form.Targets))
	for _, target := range form.Targets {
		if err := target.Check(); err != nil {
			return List{}, fmt.Errorf("list: %w", err)
		}
		if seen[target.UID] && form.All {
			return List{}, fmt.Errorf("list: %s stands twice", target.UID)
		}
		seen[target.UID] = true
	}
	return form.List, nil
}

// Package list is the list of servers in the platform's discovery form (PROTOCOL, "Discovery"): what keepers answer and
// clients read. It is values and checks, without I/O.
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
	MostName     = 128             // bytes of a uid, an area or a model
	MostCapacity = 1e6             // of a capacity hint; the usual server has 1
	LeastLease   = time.Second     // shorter ones would end while a leader is elected
	MostLease    = time.Hour       // longer ones would outlive whoever could mend them
	MostText     = 16 << 20        // bytes of a whole list or a line of a watch
	Heartbeat    = 2 * time.Second // a watch says at least an empty line that often (PROTOCOL)
	AgeBeat      = time.Second     // one that tells ages says one that often
	Silence      = 5 * AgeBeat / 2 // and is lost when it says nothing for so long
	mostPodGroup = math.MaxInt32
	mostBoot     = int64(1) << 45 // ms: the year 3084
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

// Changed tells whether another says anything else than t.
func (t Target) Changed(other Target) bool {
	size, otherSize := 1.0, 1.0
	if t.Capacity != nil {
		size = *t.Capacity
	}
	if other.Capacity != nil {
		otherSize = *other.Capacity
	}
	t.Capacity, other.Capacity = nil, nil
	return t != other || size != otherSize
}

// List is what a list service says at once: all servers, or those that changed since what it said before.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
	// Besides the platform's form, which its readers pass over:
	Cluster string `json:"cluster,omitempty"` // whose revisions these are; "": not said
	AgeMS   *int64 `json:"age_ms,omitempty"`  // how long ago the answering keeper last knew itself up to date; nil: not said
}

var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// CheckUID refuses what cannot be the id of a server.
func CheckUID(uid string) error {
	switch {
	case uid == "":
		return errors.New("uid is missing")
	case len(uid) > MostName || !name.MatchString(uid):
		return fmt.Errorf("uid %.40q: at most %d letters, digits and ._:- are possible, the first a letter or digit", uid, MostName)
	}
	return nil
}

// Check refuses a server that no list may show.
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
	case len(t.Zone) > MostName || len(t.Model) > MostName:
		return fmt.Errorf("%s: az and model hold %d bytes at most", t.UID, MostName)
	case t.PodGroup < 0 || t.PodGroup > mostPodGroup:
		return fmt.Errorf("%s: pod_group %d is not within 0 to %d", t.UID, t.PodGroup, mostPodGroup)
	case t.Capacity != nil && !(*t.Capacity >= 0 && *t.Capacity <= MostCapacity):
		return fmt.Errorf("%s: capacity_hint %v is not within 0 to %v", t.UID, *t.Capacity, MostCapacity)
	case t.BootMS < 0 || t.BootMS > mostBoot:
		return fmt.Errorf("%s: boot_ms %d is no Unix time in milliseconds", t.UID, t.BootMS)
	}
	return nil
}

// Registration is what a server says of itself.
type Registration struct {
	Target
	LeaseMS int64 `json:"lease_ms,omitempty"` // it is drained when it does not renew for so long; 0: never
}

// Check refuses a registration that no keeper takes.
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
	if d := time.Duration(r.LeaseMS) * time.Millisecond; r.LeaseMS != 0 && (d < LeastLease || d > MostLease || r.LeaseMS > int64(MostLease/time.Millisecond)) {
		return fmt.Errorf("%s: lease_ms %d is neither 0 nor within %d to %d", r.UID, r.LeaseMS, LeastLease.Milliseconds(), MostLease.Milliseconds())
	}
	return nil
}

// CheckAddress refuses what is no IP address and port.
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
	var l struct {
		List
		Rev *int64 `json:"rev"`
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if l.Rev == nil || *l.Rev < 0 {
		return List{}, errors.New("list: no revision")
	}
	l.List.Rev = *l.Rev
	seen := make(map[string]bool, len(l.Targets))
	for _, t := range l.Targets {
		if err := t.Check(); err != nil {
			return List{}, fmt.Errorf("list: %w", err)
		}
		if seen[t.UID] && l.All {
			return List{}, fmt.Errorf("list: %s stands twice", t.UID)
		}
		seen[t.UID] = true
	}
	return l.List, nil
}

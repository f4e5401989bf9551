package members

import (
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"
)

// Options configure a member.
type Options struct {
	Name      string        // of the member, the same in each of its processes; 1 to MaxNameBytes bytes
	Listen    string        // IP address and port, for UDP and TCP; port 0: any free one
	Advertise string        // IP address and port at which others reach this member; "": Listen
	Join      []string      // hosts and ports of any members; those that are missing are tried again, with backoff
	Reach     string        // IP address at which every peer is reached, at the peer's own port; "": the peer's own address
	TTL       time.Duration // updates that are older are dropped; 0: DefaultTTL
	Log       *slog.Logger  // nil: nothing is logged

	// OnUpdate is called for each update that arrives, and OnView for the first view and each that has another epoch. Calls come one at
	// a time, from one goroutine. An update that is replaced by a newer one before the call is left out. Nil: no calls.
	OnUpdate func(Update)
	OnView   func(View)

	knobs TestingKnobs // zero in production
}

// DefaultTTL is Options.TTL where none is set.
const DefaultTTL = 2 * time.Second

// check returns an OptionError for the first option that is not valid.
func (o Options) check() error {
	if len(o.Name) < 1 || len(o.Name) > MaxNameBytes {
		return &OptionError{"name", fmt.Errorf("%q has not 1 to %d bytes", o.Name, MaxNameBytes)}
	}
	if _, _, err := splitAddress(o.Listen); err != nil {
		return &OptionError{"listen", err}
	}
	if o.Advertise != "" {
		if _, _, err := splitAddress(o.Advertise); err != nil {
			return &OptionError{"advertise", err}
		}
	}
	for _, address := range o.Join {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &OptionError{"join", err}
		}
	}
	if o.Reach != "" && net.ParseIP(o.Reach) == nil {
		return &OptionError{"reach", fmt.Errorf("%q is no IP address", o.Reach)}
	}
	if o.TTL < 0 {
		return &OptionError{"bound", fmt.Errorf("%v is negative", o.TTL)}
	}
	return nil
}

// splitAddress splits an address into an IP address and a port. It returns an error for host names and for names of services.
func splitAddress(address string) (host string, port int, err error) {
	host, service, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	n, err := strconv.ParseUint(service, 10, 16)
	if err != nil || net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is no IP address and port", address)
	}
	return host, int(n), nil
}

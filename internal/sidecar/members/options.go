package members

import (
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"
)

// Options say who a member is and whom it joins.
type Options struct {
	Name      string        // of the member, the same in each process of it; 1 to MaxNameBytes bytes
	Listen    string        // IP address and port, for UDP and TCP; port 0: any
	Advertise string        // IP address and port where others reach it; "": Listen
	Join      []string      // hosts and ports of any members; those that are gone are tried again, ever more rarely
	Reach     string        // every peer is reached at this IP address, at the port of its own; "": at its own
	TTL       time.Duration // updates that are older are dropped; 0: DefaultTTL
	Log       *slog.Logger  // nil: none

	// OnUpdate is called for each update, and OnView for each new view; one call at a time, from one goroutine. A state that is
	// replaced before its turn is not notified. Nil: no calls.
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

// splitAddress is an IP address and port.
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

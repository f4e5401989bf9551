package registry

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// Config is a keeper's configuration, a TOML file.
type Config struct {
	Name          string `toml:"name"`
	Folder        string `toml:"folder"`         // of its log and snapshots; nobody else's
	HTTP          string `toml:"http"`           // where clients call
	Raft          string `toml:"raft"`           // where other keepers call
	AdvertiseHTTP string `toml:"advertise_http"` // where others reach http, if that is elsewhere
	AdvertiseRaft string `toml:"advertise_raft"` // where others reach raft, if that is elsewhere
	Join          bool   `toml:"join"`           // it is added to a cluster that runs: peers are whom it asks
	Peers         []Peer `toml:"peer"`           // all keepers at the cluster's first start, this one with them
	Limits        Limits `toml:"limits"`
	Leases        Leases `toml:"leases"`
	Timing        Timing `toml:"timing"`
}

// Peer is a keeper as another one knows it.
type Peer struct {
	Name string `toml:"name"`
	Raft string `toml:"raft"`
	HTTP string `toml:"http"`
}

// Limits are what a keeper takes at once. Over one of them it answers 503 with Retry-After.
type Limits struct {
	MaxWatchers          int `toml:"watchers"`
	MaxCalls             int `toml:"calls"`        // that are no watches
	SlowWatcherMS        int `toml:"slow_ms"`      // a watcher that does not take what is written to it for so long is cut off
	CatchUpMS            int `toml:"behind_ms"`    // how long a call waits until this keeper knows a revision that the caller holds
	MaxBodyKB            int `toml:"body_kb"`      // of a call
	ReadMS               int `toml:"read_ms"`      // for a call to come whole
	WatchStartsPerSecond int `toml:"starts_per_s"` // watches that begin in a second
}

// Leases bound how leases end.
type Leases struct {
	GraceMS  int     `toml:"grace_ms"` // a server whose lease has ended drains for so long before it is removed
	Share    float64 `toml:"share"`    // of the servers with leases, that may end within window_ms
	MinCount int     `toml:"least"`    // that may in any case
	WindowMS int     `toml:"window_ms"`
}

// Timing is how quick the agreement is.
type Timing struct {
	HeartbeatMS   int    `toml:"heartbeat_ms"`
	SnapshotMS    int    `toml:"snapshot_ms"`
	SnapshotAfter uint64 `toml:"snapshot_after"`
	Trailing      uint64 `toml:"trailing"`
}

// Defaults is a configuration with all that may be left out.
func Defaults() Config {
	return Config{
		Limits: Limits{MaxWatchers: 6000, MaxCalls: 256, SlowWatcherMS: 5000, CatchUpMS: 2000, MaxBodyKB: 512, ReadMS: 3000, WatchStartsPerSecond: 2000},
		Leases: Leases{GraceMS: 10_000, Share: 0.3, MinCount: 3, WindowMS: 30_000},
		Timing: Timing{HeartbeatMS: 400, SnapshotMS: 20_000, SnapshotAfter: 8192, Trailing: 4096},
	}
}

// ErrConfig is a configuration that makes no sense.
var ErrConfig = errors.New("configuration")

// LoadConfig reads a file. Its errors wrap ErrConfig and are one line.
func LoadConfig(path string) (Config, error) {
	c := Defaults()
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	meta, err := toml.Decode(string(text), &c)
	var where toml.ParseError
	switch {
	case errors.As(err, &where):
		return c, fmt.Errorf("%w: %s:%d: %s", ErrConfig, path, where.Position.Line, strings.ReplaceAll(where.Message, "\n", " "))
	case err != nil:
		return c, fmt.Errorf("%w: %s: %s", ErrConfig, path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return c, fmt.Errorf("%w: %s: unknown key %q", ErrConfig, path, extra[0])
	}
	if err := c.check(); err != nil {
		return c, fmt.Errorf("%w: %s: %w", ErrConfig, path, err)
	}
	return c, nil
}

const maxMS = int(time.Hour / time.Millisecond)

func (c *Config) check() error {
	if err := list.CheckUID(c.Name); err != nil {
		return fmt.Errorf("name: %w", err)
	}
	if c.Folder == "" {
		return errors.New("folder is missing")
	}
	for _, a := range []struct {
		key, address string
		may          bool
	}{{"http", c.HTTP, false}, {"raft", c.Raft, false}, {"advertise_http", c.AdvertiseHTTP, true}, {"advertise_raft", c.AdvertiseRaft, true}} {
		if a.may && a.address == "" {
			continue
		}
		if err := list.CheckAddress(a.address); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	for _, b := range []struct {
		key     string
		v, a, z int
	}{
		{"limits.watchers", c.Limits.MaxWatchers, 1, 1 << 20}, {"limits.calls", c.Limits.MaxCalls, 1, 1 << 16},
		{"limits.slow_ms", c.Limits.SlowWatcherMS, 10, maxMS}, {"limits.behind_ms", c.Limits.CatchUpMS, 0, maxMS},
		{"limits.body_kb", c.Limits.MaxBodyKB, 1, 1 << 16}, {"limits.read_ms", c.Limits.ReadMS, 10, maxMS},
		{"limits.starts_per_s", c.Limits.WatchStartsPerSecond, 1, 1 << 20}, {"leases.grace_ms", c.Leases.GraceMS, 0, maxMS},
		{"leases.least", c.Leases.MinCount, 0, 1 << 20}, {"leases.window_ms", c.Leases.WindowMS, 1, maxMS},
		{"timing.heartbeat_ms", c.Timing.HeartbeatMS, 50, maxMS}, {"timing.snapshot_ms", c.Timing.SnapshotMS, 10, maxMS},
	} {
		if b.v < b.a || b.v > b.z {
			return fmt.Errorf("%s: %d is not within %d to %d", b.key, b.v, b.a, b.z)
		}
	}
	if s := c.Leases.Share; !(s >= 0 && s <= 1) || math.IsNaN(s) {
		return fmt.Errorf("leases.share: %v is not within 0 to 1", s)
	}
	if c.Timing.SnapshotAfter < 1 || c.Timing.Trailing < 1 {
		return errors.New("timing: snapshot_after and trailing are 1 at least")
	}
	return c.checkPeers()
}

func (c *Config) checkPeers() error {
	names, addresses := map[string]bool{}, map[string]string{}
	self := false
	for _, p := range c.Peers {
		if err := list.CheckUID(p.Name); err != nil {
			return fmt.Errorf("peer: %w", err)
		}
		if names[p.Name] {
			return fmt.Errorf("peer %s stands twice", p.Name)
		}
		names[p.Name] = true
		for _, a := range []string{p.Raft, p.HTTP} {
			if err := list.CheckAddress(a); err != nil {
				return fmt.Errorf("peer %s: %w", p.Name, err)
			}
			if other, taken := addresses[a]; taken {
				return fmt.Errorf("peer %s: %s is the address of %s", p.Name, a, other)
			}
			addresses[a] = p.Name
		}
		if p.Name == c.Name {
			self = true
			if raft, http := cmp.Or(c.AdvertiseRaft, c.Raft), cmp.Or(c.AdvertiseHTTP, c.HTTP); p.Raft != raft || p.HTTP != http {
				return fmt.Errorf("peer %s is this keeper, and stands at %s and %s, not at %s and %s", p.Name, p.Raft, p.HTTP, raft, http)
			}
		}
	}
	switch n := len(c.Peers); {
	case c.Join && self:
		return fmt.Errorf("%s joins: it cannot be among the peers that it asks", c.Name)
	case c.Join && n == 0:
		return errors.New("a keeper that joins needs a peer to ask")
	case !c.Join && !self:
		return fmt.Errorf("%s is not among the peers", c.Name)
	case !c.Join && n%2 == 0:
		return fmt.Errorf("%d peers: a cluster begins with an odd number", n)
	case n > 7:
		return fmt.Errorf("%d peers: 7 at most", n)
	}
	return nil
}

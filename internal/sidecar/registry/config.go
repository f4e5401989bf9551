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

// Config is the configuration of a registry node, a TOML file. The keys are the operators' and never change.
type Config struct {
	Name          string `toml:"name"`
	Folder        string `toml:"folder"`         // of the log and the snapshots; of this node alone
	HTTP          string `toml:"http"`           // address at which it serves clients
	Raft          string `toml:"raft"`           // address at which it serves other nodes
	AdvertiseHTTP string `toml:"advertise_http"` // address at which others reach HTTP, where that differs
	AdvertiseRaft string `toml:"advertise_raft"` // address at which others reach Raft, where that differs
	Join          bool   `toml:"join"`           // it is added to a running cluster: it asks the peers, and is none of them
	Peers         []Peer `toml:"peer"`           // all nodes at the cluster's first start, including this one
	Limits        Limits `toml:"limits"`
	Leases        Leases `toml:"leases"`
	Timing        Timing `toml:"timing"`
}

// Peer is a node as another one knows it.
type Peer struct {
	Name string `toml:"name"`
	Raft string `toml:"raft"`
	HTTP string `toml:"http"`
}

// Limits bound what a node does at a time. A call that would exceed one is refused with 503 and Retry-After.
type Limits struct {
	MaxWatchers          int `toml:"watchers"`  // open watches, each of list, routes and roles
	MaxCalls             int `toml:"calls"`     // calls in progress that are no watches
	SlowWatcherMS        int `toml:"slow_ms"`   // a watch is closed where a write to it takes longer
	CatchUpMS            int `toml:"behind_ms"` // how long a call waits until this node knows the revision that the client has
	MaxBodyKB            int `toml:"body_kb"`
	ReadMS               int `toml:"read_ms"` // for the header of a call, and for its body, to arrive
	WatchStartsPerSecond int `toml:"starts_per_s"`
}

// Leases bound how leases of servers end.
type Leases struct {
	GraceMS  int     `toml:"grace_ms"` // from the drain of a server whose lease has ended to its removal
	Share    float64 `toml:"share"`    // part of the servers with leases that may be drained within the window, 0 to 1
	MinCount int     `toml:"least"`    // servers that may be drained within the window however few there are
	WindowMS int     `toml:"window_ms"`
}

// Timing bounds how quickly raft agrees and how much it stores.
type Timing struct {
	HeartbeatMS   int    `toml:"heartbeat_ms"`
	SnapshotMS    int    `toml:"snapshot_ms"`    // shortest interval of snapshots
	SnapshotAfter uint64 `toml:"snapshot_after"` // commands between snapshots
	Trailing      uint64 `toml:"trailing"`       // commands that stay in the log behind a snapshot
}

// Defaults returns the values of the keys that may be left out.
func Defaults() Config {
	return Config{
		Limits: Limits{MaxWatchers: 6000, MaxCalls: 256, SlowWatcherMS: 5000, CatchUpMS: 2000, MaxBodyKB: 512, ReadMS: 3000, WatchStartsPerSecond: 2000},
		Leases: Leases{GraceMS: 10_000, Share: 0.3, MinCount: 3, WindowMS: 30_000},
		Timing: Timing{HeartbeatMS: 400, SnapshotMS: 20_000, SnapshotAfter: 8192, Trailing: 4096},
	}
}

// ErrConfig is wrapped by every error of LoadConfig.
var ErrConfig = errors.New("configuration")

// LoadConfig reads and checks a configuration file. Errors wrap ErrConfig and have one line, with the key or the line of the file.
func LoadConfig(path string) (Config, error) {
	config := Defaults()
	text, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	meta, err := toml.Decode(string(text), &config)
	var parseErr toml.ParseError
	switch {
	case errors.As(err, &parseErr):
		return config, fmt.Errorf("%w: %s:%d: %s", ErrConfig, path, parseErr.Position.Line, inOneLine(parseErr.Message))
	case err != nil:
		return config, fmt.Errorf("%w: %s: %s", ErrConfig, path, inOneLine(err.Error()))
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return config, fmt.Errorf("%w: %s: unknown key %q", ErrConfig, path, extra[0])
	}
	if err := config.check(); err != nil {
		return config, fmt.Errorf("%w: %s: %w", ErrConfig, path, err)
	}
	return config, nil
}

func inOneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }

func (c *Config) check() error {
	if err := list.CheckUID(c.Name); err != nil {
		return fmt.Errorf("name: %w", err)
	}
	if c.Folder == "" {
		return errors.New("folder is missing")
	}
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if err := c.checkRanges(); err != nil {
		return err
	}
	if share := c.Leases.Share; math.IsNaN(share) || share < 0 || share > 1 {
		return fmt.Errorf("leases.share: %v is not within 0 to 1", share)
	}
	if c.Timing.SnapshotAfter < 1 || c.Timing.Trailing < 1 {
		return errors.New("timing: snapshot_after and trailing are 1 at least")
	}
	return c.checkPeers()
}

func (c *Config) checkAddresses() error {
	for _, key := range []struct {
		name, address string
		optional      bool
	}{
		{"http", c.HTTP, false},
		{"raft", c.Raft, false},
		{"advertise_http", c.AdvertiseHTTP, true},
		{"advertise_raft", c.AdvertiseRaft, true},
	} {
		if key.optional && key.address == "" {
			continue
		}
		if err := list.CheckAddress(key.address); err != nil {
			return fmt.Errorf("%s: %w", key.name, err)
		}
	}
	return nil
}

const maxMS = int(time.Hour / time.Millisecond)

func (c *Config) checkRanges() error {
	for _, key := range []struct {
		name            string
		value, min, max int
	}{
		{"limits.watchers", c.Limits.MaxWatchers, 1, 1 << 20},
		{"limits.calls", c.Limits.MaxCalls, 1, 1 << 16},
		{"limits.slow_ms", c.Limits.SlowWatcherMS, 10, maxMS},
		{"limits.behind_ms", c.Limits.CatchUpMS, 0, maxMS},
		{"limits.body_kb", c.Limits.MaxBodyKB, 1, 1 << 16},
		{"limits.read_ms", c.Limits.ReadMS, 10, maxMS},
		{"limits.starts_per_s", c.Limits.WatchStartsPerSecond, 1, 1 << 20},
		{"leases.grace_ms", c.Leases.GraceMS, 0, maxMS},
		{"leases.least", c.Leases.MinCount, 0, 1 << 20},
		{"leases.window_ms", c.Leases.WindowMS, 1, maxMS},
		{"timing.heartbeat_ms", c.Timing.HeartbeatMS, 50, maxMS},
		{"timing.snapshot_ms", c.Timing.SnapshotMS, 10, maxMS},
	} {
		if key.value < key.min || key.value > key.max {
			return fmt.Errorf("%s: %d is not within %d to %d", key.name, key.value, key.min, key.max)
		}
	}
	return nil
}

func (c *Config) checkPeers() error {
	names, addresses := map[string]bool{}, map[string]string{}
	for _, peer := range c.Peers {
		if err := list.CheckUID(peer.Name); err != nil {
			return fmt.Errorf("peer: %w", err)
		}
		if names[peer.Name] {
			return fmt.Errorf("peer %s stands twice", peer.Name)
		}
		names[peer.Name] = true
		if err := peer.checkAddresses(addresses); err != nil {
			return err
		}
		if peer.Name == c.Name {
			if err := c.checkSelf(peer); err != nil {
				return err
			}
		}
	}
	return c.checkPeerCount(names[c.Name])
}

// checkAddresses checks a peer's addresses and adds them to those of the peers before it, by which they must not be used.
func (p Peer) checkAddresses(used map[string]string) error {
	for _, address := range []string{p.Raft, p.HTTP} {
		if err := list.CheckAddress(address); err != nil {
			return fmt.Errorf("peer %s: %w", p.Name, err)
		}
		if other, found := used[address]; found {
			return fmt.Errorf("peer %s: %s is the address of %s", p.Name, address, other)
		}
		used[address] = p.Name
	}
	return nil
}

// checkSelf compares the peer that is this node with the node's own addresses.
func (c *Config) checkSelf(self Peer) error {
	raft, http := cmp.Or(c.AdvertiseRaft, c.Raft), cmp.Or(c.AdvertiseHTTP, c.HTTP)
	if self.Raft != raft || self.HTTP != http {
		return fmt.Errorf("peer %s is this keeper, and stands at %s and %s, not at %s and %s", self.Name, self.Raft, self.HTTP, raft, http)
	}
	return nil
}

const maxPeers = 7

func (c *Config) checkPeerCount(selfIsPeer bool) error {
	switch count := len(c.Peers); {
	case c.Join && selfIsPeer:
		return fmt.Errorf("%s joins: it cannot be among the peers that it asks", c.Name)
	case c.Join && count == 0:
		return errors.New("a keeper that joins needs a peer to ask")
	case !c.Join && !selfIsPeer:
		return fmt.Errorf("%s is not among the peers", c.Name)
	case !c.Join && count%2 == 0:
		return fmt.Errorf("%d peers: a cluster begins with an odd number", count)
	case count > maxPeers:
		return fmt.Errorf("%d peers: %d at most", count, maxPeers)
	}
	return nil
}

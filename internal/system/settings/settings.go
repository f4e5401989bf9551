// Package settings reads and checks the settings file of a process of the system (TOML, DEPLOY.md "Settings of a process").
// Fields that are not known are passed over, as the file may gain new ones.
package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// PathEnv names the environment variable that holds the path of the settings file.
const PathEnv = "GRADEUSHER_BOOT"

// ErrSettings marks every error of this package: the file cannot be read, lacks what a role needs or holds nonsense.
var ErrSettings = errors.New("settings")

// Bind holds the addresses that a process is to listen at; empty where it does not serve that.
type Bind struct {
	Front     string `toml:"front"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control_api"`
	Directory string `toml:"directory"`
}

// Limits are what the machine gives a process.
type Limits struct {
	CPUShare float64 `toml:"cpu_share"` // of a core
	Cores    float64 `toml:"cores"`
	MemoryMB int64   `toml:"memory_mb"`
	FDs      int     `toml:"fd_limit"`
	LinkMbps float64 `toml:"link_mbps"`
	DiskMB   int64   `toml:"disk_mb"` // 0: no disk
}

// Tolerance is what the system may lose at once and still keep all rules.
type Tolerance struct {
	Machines int `toml:"machine_losses"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"region_losses"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	SeedLag      float64 `toml:"seed_lag_s"`
	Contact      float64 `toml:"contact_ms"`
	Ack          float64 `toml:"ack_ms"`
	CatchUp      float64 `toml:"catch_up_s"`
	Drain        float64 `toml:"drain_ms"`
	Grace        float64 `toml:"grace_s"`
	LossSlack    float64 `toml:"loss_slack_ms"`
	ConfigApply  float64 `toml:"config_apply_ms"`
	RevertSlack  float64 `toml:"revert_slack_ms"`
	RetryRatio   float64 `toml:"retry_ratio"`
	RetryWindowS float64 `toml:"retry_window_s"`
	RetrySlack   float64 `toml:"retry_slack"`
	ColdExcess   float64 `toml:"cold_excess"`
	ColdSlack    float64 `toml:"cold_slack"`
	Evacuate     float64 `toml:"evacuate_ms"`
	Recovery     float64 `toml:"recovery_s"`
	TTLMax       float64 `toml:"ttl_max_s"`
}

// Cloud says where the platform's list of servers is.
type Cloud struct {
	Address string  `toml:"address"`
	Rate    float64 `toml:"rate_per_s"` // calls a second that it accepts from all processes together
	Lag     float64 `toml:"lag_ms"`
}

// Settings are those of one process.
type Settings struct {
	Node        string            `toml:"node_name"`
	Role        string            `toml:"role"`
	Serves      []string          `toml:"serves"`
	IP          string            `toml:"ip"`
	Zone        string            `toml:"zone"`
	Region      string            `toml:"region"`
	Ports       []int             `toml:"port_range"` // first and last of those free for the system's own traffic
	Seeds       []string          `toml:"seed_nodes"` // control_api addresses
	Bootstrap   bool              `toml:"bootstrap"`
	Counted     bool              `toml:"loss_counted"`
	DataDir     string            `toml:"data_dir"`
	HeartbeatMS float64           `toml:"beat_ms"`
	Zones       map[string]string `toml:"zones"` // zone to region
	Bind        Bind              `toml:"bind"`
	Limits      Limits            `toml:"limits"`
	Tolerance   Tolerance         `toml:"tolerance"`
	Bounds      Bounds            `toml:"bounds"`
	Cloud       Cloud             `toml:"cloud_api"`
}

// Role is what a program needs of its settings.
type Role int

// The roles of the system.
const (
	Proxy        Role = iota // carries requests; answers the directory
	ControlPlane             // holds the control state, where it has a disk; answers the operator
)

// The system's own traffic takes the first ports of the range, the same on all machines. These are offsets from the first.
const (
	controlPlanePortOffset = iota // traffic to control-plane nodes
	proxyPortOffset               // traffic between proxies
	portsNeeded
)

const maxPort = 65535

// HasDisk tells whether the machine has a disk for this process. A keeper without one is an observer: it has no vote.
func (s *Settings) HasDisk() bool { return s.DataDir != "" }

// ControlPlanePort is where a keeper listens for the system's own traffic.
func (s *Settings) ControlPlanePort() int { return s.Ports[0] + controlPlanePortOffset }

// ProxyPort is where a proxy listens for the system's own traffic, by TCP and UDP.
func (s *Settings) ProxyPort() int { return s.Ports[0] + proxyPortOffset }

// SeedIPs are the machines of the seed addresses.
func (s *Settings) SeedIPs() []string {
	ips := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			ips = append(ips, at.Addr().String())
		}
	}
	return ips
}

// Milliseconds turns a figure of the file into a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds turns a figure of the file into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// FromEnvironment reads the file that Variable names.
func FromEnvironment(role Role) (*Settings, error) {
	path := os.Getenv(PathEnv)
	if path == "" {
		return nil, errors.Mark(errors.Newf("%s is not set: name the settings file in it", PathEnv), ErrSettings)
	}
	return Load(path, role)
}

// Load reads and checks a file.
func Load(path string, role Role) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Newf("settings file %s cannot be read (%v): check that it is there", path, err),
			ErrSettings)
	}
	return Parse(text, role)
}

// Parse checks the text of a file. The error is one line that names the field and the remedy.
func Parse(text []byte, role Role) (*Settings, error) {
	s := &Settings{}
	if _, err := toml.Decode(string(text), s); err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return nil, errors.Mark(errors.Newf("the settings are no TOML that fits: %s", line), ErrSettings)
	}
	if err := s.validate(role); err != nil {
		return nil, errors.Mark(err, ErrSettings)
	}
	return s, nil
}

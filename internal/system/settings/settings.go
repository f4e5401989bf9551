// Package settings reads and validates the settings file of a process of the system (TOML; DEPLOY.md, "Settings of a process").
//
// The file is the same for all roles, and each role needs only a part of it. A process must not start with settings with which it
// would fail later or break a rule. So Parse checks the range of each figure and the addresses that the role needs, and its error is
// one line that names the key and the remedy. Unknown keys are ignored, since the file may gain new ones.
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

// ErrSettings marks every error of this package: the file cannot be read, lacks what a role needs, or has a value out of range.
// Test with errors.Is of github.com/cockroachdb/errors.
var ErrSettings = errors.New("settings")

// Bind holds the addresses, as IP:PORT, that a process listens on; an endpoint that it does not serve is empty.
type Bind struct {
	Front     string `toml:"front"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control_api"`
	Directory string `toml:"directory"`
}

// Limits are the resources that a process may use on its machine.
type Limits struct {
	CPUShare        float64 `toml:"cpu_share"` // of a core
	Cores           float64 `toml:"cores"`
	MemoryMB        int64   `toml:"memory_mb"` // MiB
	FileDescriptors int     `toml:"fd_limit"`
	LinkMbps        float64 `toml:"link_mbps"`
	DiskMB          int64   `toml:"disk_mb"` // MB; 0: no disk
}

// Tolerance is how many simultaneous losses the system must survive without breaking a rule.
type Tolerance struct {
	Machines int `toml:"machine_losses"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"region_losses"`
}

// Bounds are the figures of the operators' rules. Keys end in their unit, _ms or _s, except for ratios, excesses and slacks of requests.
type Bounds struct {
	SeedLagSeconds     float64 `toml:"seed_lag_s"`
	ContactMS          float64 `toml:"contact_ms"`
	AckMS              float64 `toml:"ack_ms"`
	CatchUpSeconds     float64 `toml:"catch_up_s"`
	DrainMS            float64 `toml:"drain_ms"`
	GraceSeconds       float64 `toml:"grace_s"`
	LossSlackMS        float64 `toml:"loss_slack_ms"`
	ConfigApplyMS      float64 `toml:"config_apply_ms"`
	RevertSlackMS      float64 `toml:"revert_slack_ms"`
	RevocationGlobal   bool    `toml:"revocation_global"` // revoke_ms also applies to machines without contact to the control plane
	RevokeMS           float64 `toml:"revoke_ms"`         // within which a revoked key is rejected everywhere
	RetryRatio         float64 `toml:"retry_ratio"`
	RetryWindowSeconds float64 `toml:"retry_window_s"`
	RetrySlack         float64 `toml:"retry_slack"`
	ColdExcess         float64 `toml:"cold_excess"`
	ColdSlack          float64 `toml:"cold_slack"`
	QuotaWindowSeconds float64 `toml:"quota_window_s"`
	QuotaExcess        float64 `toml:"quota_excess"` // as a fraction of a window's quota; 0.1: a tenth more
	QuotaSlack         float64 `toml:"quota_slack"`  // requests in addition to that
	EvacuateMS         float64 `toml:"evacuate_ms"`
	RecoverySeconds    float64 `toml:"recovery_s"`
	TTLMaxSeconds      float64 `toml:"ttl_max_s"`
}

// Cloud is the platform's API that lists the servers.
type Cloud struct {
	Address        string  `toml:"address"`
	CallsPerSecond float64 `toml:"rate_per_s"` // accepted from all processes together
	LagMS          float64 `toml:"lag_ms"`     // delay of the list behind the state of the servers
}

// Settings are the settings of one process.
type Settings struct {
	Node        string            `toml:"node_name"`
	Role        string            `toml:"role"`
	Serves      []string          `toml:"serves"`
	IP          string            `toml:"ip"`
	Zone        string            `toml:"zone"`
	Region      string            `toml:"region"`
	Ports       []int             `toml:"port_range"` // first and last port for the system's own traffic
	Seeds       []string          `toml:"seed_nodes"` // control_api addresses of control-plane nodes
	Bootstrap   bool              `toml:"bootstrap"`  // this node may form the first view
	Counted     bool              `toml:"loss_counted"`
	DataDir     string            `toml:"data_dir"` // empty: no disk
	HeartbeatMS float64           `toml:"beat_ms"`  // maximum heartbeat interval; 0: not given
	Zones       map[string]string `toml:"zones"`    // region by zone
	Bind        Bind              `toml:"bind"`
	Limits      Limits            `toml:"limits"`
	Tolerance   Tolerance         `toml:"tolerance"`
	Bounds      Bounds            `toml:"bounds"`
	Cloud       Cloud             `toml:"cloud_api"`
}

// Role is the role of a program, which decides what it needs of its settings.
type Role int

// The roles of a program.
const (
	Proxy        Role = iota // carries requests and serves the directory
	ControlPlane             // replicates or observes the control state and serves the operator
)

// The system's own traffic uses the first ports of the range, the same on all machines. These are offsets from the first port.
const (
	controlPlanePortOffset = iota // traffic to control-plane nodes
	proxyPortOffset               // traffic between proxies
	portsNeeded
)

const maxPort = 65535

// HasDisk reports whether the machine has a disk for this process. A control-plane node without one is an observer: it has no vote.
func (s *Settings) HasDisk() bool { return s.DataDir != "" }

// ControlPlanePort returns the port of a control-plane node for the system's own traffic.
func (s *Settings) ControlPlanePort() int { return s.Ports[0] + controlPlanePortOffset }

// ProxyPort returns the TCP and UDP port of a proxy for the system's own traffic.
func (s *Settings) ProxyPort() int { return s.Ports[0] + proxyPortOffset }

// SeedIPs returns the IP addresses of the seeds, in the order of the file.
func (s *Settings) SeedIPs() []string {
	ips := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			ips = append(ips, at.Addr().String())
		}
	}
	return ips
}

// Milliseconds converts a figure of the file, in milliseconds, to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a figure of the file, in seconds, to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// FromEnvironment loads the file that the environment variable PathEnv names. Errors are marked ErrSettings.
func FromEnvironment(role Role) (*Settings, error) {
	text, err := ReadFromEnvironment()
	if err != nil {
		return nil, err
	}
	return Parse(text, role)
}

// ReadFromEnvironment returns the text of the file that the environment variable PathEnv names. Errors are marked ErrSettings.
func ReadFromEnvironment() ([]byte, error) {
	path := os.Getenv(PathEnv)
	if path == "" {
		return nil, errors.Mark(errors.Newf("%s is not set: set it to the path of the settings file", PathEnv), ErrSettings)
	}
	return read(path)
}

// Load reads and validates a file. Errors are marked ErrSettings.
func Load(path string, role Role) (*Settings, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, role)
}

func read(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Newf("settings file %s cannot be read (%v): check that it is there", path, err),
			ErrSettings)
	}
	return text, nil
}

// Parse decodes and validates the text of a file. The error, marked ErrSettings, is one line that names the key and the remedy.
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

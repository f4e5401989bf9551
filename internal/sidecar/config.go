// Package sidecar is the production sidecar: it runs the decision module (package balance) over sockets and makes no decisions itself.
//
// # Parts
//
//   - server answers the application over HTTP/1.1; each request becomes a call.
//   - host runs the Balancer. Its loop is the only goroutine that touches the Balancer and the calls; what happens elsewhere is
//     posted to the loop, with its time.
//   - upstream holds the connections to the servers and sends attempts; an answer that is too long to be buffered is streamed.
//   - serverTable, discovery and the registry's client provide the list of servers; members and their reports provide what other
//     sidecars observed; control answers operators.
//   - process starts and ends all of them.
//
// # Invariants
//
//   - A request is sent to a server only by an action of the Balancer, and each Send has one result.
//   - A request gets one final answer, before the client's deadline or as soon as it is overdue.
//   - Buffered bodies and answers, connections and descriptors are bounded by the configuration.
//   - A planned restart loses no request: see process, shutdownClock and drainListener.
package sidecar

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/wire"
)

// Config is the configuration of a sidecar.
type Config struct {
	Name         string
	Listen       string    // where the application connects
	Discovery    string    // address of discovery, or of its agent on this machine; "": none, if there is a Registry
	Registry     *Registry // serves the list of servers, in place of Discovery; nil: none
	Members      *Members  // how to reach the other sidecars; nil: this sidecar is on its own
	Hitters      *Hitters  // how heavy clients are identified; nil: they are not looked for
	Control      string    // address for operators' commands; "": none
	SharedDir    string    // a directory that outlives the process; "": none
	KeepSnapshot bool      // saves what was learned of servers in SharedDir for the next process
	InheritedFD  int       // descriptor of a listening socket inherited from the platform; 0: none
	Cores        float64
	MemoryMB     int
	Sockets      int  // limit of file descriptors
	Known        List // the servers that this sidecar last knew
	Settings     balance.Settings
	Names        *wire.Names
	Limits       wire.Limits

	agentFirstTimeout time.Duration // 0: the constant of the same name; tests set longer ones
}

// Registry configures the project's own list service, and how far its lists are trusted.
type Registry struct {
	Addresses    []string
	ShrinkLimits client.ShrinkLimits
	MaxAge       time.Duration     // a node that has been out of touch for longer is replaced by another
	Reach        string            // host at which this machine reaches every server, at its endpoint's port; "": the endpoint's own host
	Routes       bool              // also follow the route table, which takes precedence over the rules in the settings
	Tags         map[string]string // of this client, in addition to its region, for the rules of the route table
}

// Defaults for what the configuration leaves out.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	minSockets            = 64
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleClose      = 15 * time.Second
	defaultMaxAge         = 2500 * time.Millisecond
	stderrFD              = 2 // the highest descriptor that cannot be an inherited socket
)

// configFile is the format of the file that PROXY_CONFIG names. Unknown keys are ignored.
type configFile struct {
	Name         string
	Listen       string
	Discovery    string
	Control      string
	KeepSnapshot bool `json:"keep_beliefs"`
	Seed         string
	Limits       struct {
		Cores    *float64
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int
	}
	Known    *json.RawMessage
	Settings json.RawMessage
	Registry *registryFile `json:"Keepers"`
	Members  *membersFile
	Hitters  *hittersFile
}

// registryFile is the format of the file's registry section. What is left out gets the client's default.
type registryFile struct {
	Addresses              []string
	MaxShare               *float64 `json:"doubt_share"`
	MinCount               *int     `json:"doubt_least"`
	ConfirmAfterSeconds    *float64 `json:"doubt_after_s"`
	ReleaseIntervalSeconds *float64 `json:"doubt_every_s"`
	MaxAgeSeconds          *float64 `json:"most_age_s"`
	Reach                  string
	Routes                 bool
	Tags                   map[string]string
}

// LoadConfig reads the configuration from the file that PROXY_CONFIG names. PROXY_NAME, PROXY_LISTEN,
// PROXY_DISCOVERY and PROXY_CONTROL take precedence over the file. Errors name the key.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c, err := file.config(getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// DiscoveryAt reads the address of discovery, or the comma-separated addresses of the registry's
// nodes, from the file that PROXY_CONFIG names, after the file was replaced. It ignores
// PROXY_DISCOVERY and PROXY_KEEPERS, which still hold the addresses from the start of the process.
func DiscoveryAt(getenv func(string) string) (string, error) {
	c, err := LoadConfig(func(key string) string {
		if key == "PROXY_DISCOVERY" || key == "PROXY_KEEPERS" {
			return ""
		}
		return getenv(key)
	})
	if err != nil {
		return "", err
	}
	if c.Registry != nil {
		return strings.Join(c.Registry.Addresses, ","), nil
	}
	return c.Discovery, nil
}

// config validates the file and completes it from the environment and the defaults.
func (file *configFile) config(getenv func(string) string) (*Config, error) {
	config := &Config{
		Name:         cmp.Or(getenv("PROXY_NAME"), file.Name),
		Listen:       cmp.Or(getenv("PROXY_LISTEN"), file.Listen),
		Discovery:    cmp.Or(getenv("PROXY_DISCOVERY"), file.Discovery),
		SharedDir:    getenv("TMPDIR"),
		KeepSnapshot: file.KeepSnapshot,
		Control:      cmp.Or(getenv("PROXY_CONTROL"), file.Control),
	}
	var err error
	if config.Registry, err = file.Registry.config(getenv("PROXY_KEEPERS")); err != nil {
		return nil, fmt.Errorf("keepers: %w", err)
	}
	if err := config.checkAddresses(); err != nil {
		return nil, err
	}
	if config.InheritedFD, err = parseFD(getenv("PROXY_FD")); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", file.Seed)
	}
	if err := file.readLimits(config); err != nil {
		return nil, err
	}
	if err := file.readSettings(config, seed); err != nil {
		return nil, err
	}
	if err := file.readFleet(config, getenv("PROXY_MEMBERS")); err != nil {
		return nil, err
	}
	if file.Known != nil {
		if config.Known, err = parseList(*file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return config, nil
}

// checkAddresses validates the addresses of the listeners and of discovery. Discovery may be left out if there is a registry.
func (c *Config) checkAddresses() error {
	if err := checkAddress(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Discovery != "" || c.Registry == nil {
		if err := checkAddress(c.Discovery); err != nil {
			return fmt.Errorf("discovery: %w", err)
		}
	}
	if c.Control != "" {
		if err := checkAddress(c.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	return nil
}

// parseFD parses the descriptor of an inherited socket; 0: none.
func parseFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.ParseUint(text, 10, 31)
	if err != nil || fd <= stderrFD {
		return 0, fmt.Errorf("PROXY_FD: %q is not a descriptor above %d", text, stderrFD)
	}
	return int(fd), nil
}

// readLimits reads the limits of the machine.
func (file *configFile) readLimits(config *Config) error {
	config.Cores, config.MemoryMB, config.Sockets = defaultCores, defaultMemoryMB, defaultSockets
	if cores := file.Limits.Cores; cores != nil {
		if *cores <= 0 {
			return fmt.Errorf("limits.cores: %v must be above 0", *cores)
		}
		config.Cores = *cores
	}
	if memory := file.Limits.MemoryMB; memory != nil {
		if *memory <= 0 {
			return fmt.Errorf("limits.memory_mb: %d must be above 0", *memory)
		}
		config.MemoryMB = *memory
	}
	if sockets := file.Limits.Sockets; sockets != nil {
		if *sockets < minSockets {
			return fmt.Errorf("limits.sockets: %d must be at least %d", *sockets, minSockets)
		}
		config.Sockets = *sockets
	}
	return nil
}

// readSettings reads the Balancer's settings.
func (file *configFile) readSettings(config *Config, seed uint64) error {
	if len(file.Settings) == 0 {
		return errors.New("settings: missing")
	}
	var err error
	if config.Settings, config.Names, config.Limits, err = wire.SettingsJSON(seed, file.Settings); err != nil {
		return err
	}
	if config.Registry != nil {
		config.Settings.SubscribeToDiscovery = false // the registry publishes without being asked
		config.Settings.Tags = config.Registry.Tags
	}
	config.Limits.ConnectTimeout = cmp.Or(config.Limits.ConnectTimeout, defaultConnectTimeout)
	config.Limits.IdleTimeout = cmp.Or(config.Limits.IdleTimeout, defaultIdleClose)
	return nil
}

// readFleet reads how to reach the other sidecars, and how heavy clients are handled.
func (file *configFile) readFleet(config *Config, join string) error {
	var err error
	if config.Members, err = file.Members.config(config.Name, join); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	if config.Members != nil {
		config.Settings.ReportTTL = config.Members.ReportTTL
	}
	if config.Hitters, config.Settings.Hitters, err = file.Hitters.config(config.Name); err != nil {
		return fmt.Errorf("hitters: %w", err)
	}
	return nil
}

// config validates the file's registry section. Addresses in environment, if set, replace those of the file.
func (file *registryFile) config(environment string) (*Registry, error) {
	if file == nil {
		if environment == "" {
			return nil, nil
		}
		file = &registryFile{}
	}
	r := &Registry{
		Addresses:    file.Addresses,
		ShrinkLimits: client.DefaultShrinkLimits,
		MaxAge:       defaultMaxAge,
		Reach:        file.Reach,
		Routes:       file.Routes,
		Tags:         file.Tags,
	}
	if environment != "" {
		r.Addresses = strings.Split(environment, ",")
	}
	if err := r.checkAddresses(); err != nil {
		return nil, err
	}
	if err := file.readShrinkLimits(r); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Registry) checkAddresses() error {
	if len(r.Addresses) == 0 {
		return errors.New("no address is given")
	}
	for _, address := range r.Addresses {
		if err := checkAddress(address); err != nil {
			return err
		}
	}
	if r.Reach != "" && net.ParseIP(r.Reach) == nil {
		return fmt.Errorf("reach: %q is not an IP address", r.Reach)
	}
	return nil
}

// readShrinkLimits reads how far a list may shrink without confirmation, and how long a node may be out of touch.
func (file *registryFile) readShrinkLimits(r *Registry) error {
	if share := file.MaxShare; share != nil {
		if !(*share >= 0 && *share <= 1) {
			return fmt.Errorf("doubt_share: %v must be from 0 to 1", *share)
		}
		r.ShrinkLimits.MaxShare = *share
	}
	if count := file.MinCount; count != nil {
		if *count < 0 {
			return fmt.Errorf("doubt_least: %d must not be negative", *count)
		}
		r.ShrinkLimits.MinCount = *count
	}
	for _, d := range []struct {
		name    string
		seconds *float64
		to      *time.Duration
	}{
		{"doubt_after_s", file.ConfirmAfterSeconds, &r.ShrinkLimits.ConfirmAfter},
		{"doubt_every_s", file.ReleaseIntervalSeconds, &r.ShrinkLimits.ReleaseInterval},
		{"most_age_s", file.MaxAgeSeconds, &r.MaxAge},
	} {
		if err := readSeconds(d.name, d.seconds, d.to); err != nil {
			return err
		}
	}
	return nil
}

// maxSeconds bounds the durations in the file.
const maxSeconds = 3600

// readSeconds converts an optional duration in seconds.
func readSeconds(name string, seconds *float64, to *time.Duration) error {
	if seconds == nil {
		return nil
	}
	if !(*seconds > 0 && *seconds <= maxSeconds) {
		return fmt.Errorf("%s: %v must be above 0 and at most %d", name, *seconds, maxSeconds)
	}
	*to = time.Duration(*seconds * float64(time.Second))
	return nil
}

var errMissing = errors.New("missing")

// checkAddress returns an error if address is not an IP address and port.
func checkAddress(address string) error {
	if address == "" {
		return errMissing
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address and port", address)
	}
	return nil
}

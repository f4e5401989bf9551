// Package sidecar is the real sidecar: it drives the decision module of package balance over sockets. It decides
// nothing itself.
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

// Config is what a sidecar is told at its start.
type Config struct {
	Name         string
	Listen       string    // where the application connects
	Discovery    string    // where discovery, or its agent on this machine, listens; "": nowhere, with Keepers
	Registry     *Registry // who hold the list, in place of Discovery; nil: nobody does
	Members      *Members  // how the other sidecars are known; nil: they are not
	Hitters      *Hitters  // clients that ask for much give way; nil: they do not
	Control      string    // where operators call; "": nowhere
	SharedDir    string    // a folder that outlives a process; "": none
	KeepSnapshot bool      // what is believed of servers is kept there for the next process
	InheritedFD  int       // descriptor of the listening socket that the platform holds; 0: none
	Cores        float64
	MemoryMB     int
	Sockets      int
	Known        List // the servers as this sidecar last had them
	Settings     balance.Settings
	Names        *wire.Names
	Limits       wire.Limits

	agentFirstTimeout time.Duration // 0: agentFirstTimeout; only tests wait longer
}

// Registry is the project's own list service, and how far it is believed.
type Registry struct {
	Addresses []string
	Suspicion client.Doubt
	MaxAge    time.Duration     // a keeper that was out of touch for longer is left for another
	Reach     string            // this machine reaches every server at this host, at the port of its endpoint; "": at its endpoint
	Routes    bool              // they hold the route table too, which goes before the settings' rules
	Tags      map[string]string // of this client, besides its region, for the rules of that
}

// The limits and settings of a sidecar that is told none.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	minSockets            = 64
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleClose      = 15 * time.Second
	defaultMaxAge         = 2500 * time.Millisecond
	stderrFD              = 2 // the last descriptor that is never a socket
)

// configFile is the form of the file that PROXY_CONFIG names. Unknown keys are ignored.
type configFile struct {
	Name      string
	Listen    string
	Discovery string
	Control   string
	Beliefs   bool `json:"keep_beliefs"`
	Seed      string
	Limits    struct {
		Cores    *float64
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int
	}
	Known    *json.RawMessage
	Settings json.RawMessage
	Keepers  *registryFile
	Members  *membersFile
	Hitters  *hittersFile
}

// registryFile is the form of what the file says of keepers. What is left out is the client's default.
type registryFile struct {
	Addresses  []string
	DoubtShare *float64 `json:"doubt_share"`
	DoubtLeast *int     `json:"doubt_least"`
	DoubtAfter *float64 `json:"doubt_after_s"`
	DoubtEvery *float64 `json:"doubt_every_s"`
	MostAge    *float64 `json:"most_age_s"`
	Reach      string
	Routes     bool
	Tags       map[string]string
}

// LoadConfig reads the configuration from the file that PROXY_CONFIG names. PROXY_NAME, PROXY_LISTEN and
// PROXY_DISCOVERY go before what the file says.
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

// DiscoveryAt reads where discovery is, or the keepers are, with commas, from the file that PROXY_CONFIG names, after that was replaced. Danger: the
// environment still says where discovery was at the start.
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

func (file *configFile) config(getenv func(string) string) (*Config, error) {
	c := &Config{
		Name:         cmp.Or(getenv("PROXY_NAME"), file.Name),
		Listen:       cmp.Or(getenv("PROXY_LISTEN"), file.Listen),
		Discovery:    cmp.Or(getenv("PROXY_DISCOVERY"), file.Discovery),
		SharedDir:    getenv("TMPDIR"),
		KeepSnapshot: file.Beliefs,
		Control:      cmp.Or(getenv("PROXY_CONTROL"), file.Control),
		Cores:        defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets,
	}
	var err error
	if c.Registry, err = file.Keepers.config(getenv("PROXY_KEEPERS")); err != nil {
		return nil, fmt.Errorf("keepers: %w", err)
	}
	for _, a := range []struct{ field, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if a.field == "discovery" && a.address == "" && c.Registry != nil {
			continue
		}
		if err := checkAddress(a.address); err != nil {
			return nil, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	if c.Control != "" {
		if err := checkAddress(c.Control); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	if v := getenv("PROXY_FD"); v != "" {
		fd, err := strconv.ParseUint(v, 10, 31)
		if err != nil || fd <= stderrFD {
			return nil, fmt.Errorf("PROXY_FD: %q is no descriptor above %d", v, stderrFD)
		}
		c.InheritedFD = int(fd)
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", file.Seed)
	}
	if v := file.Limits.Cores; v != nil {
		if c.Cores = *v; c.Cores <= 0 {
			return nil, fmt.Errorf("limits.cores: %v is not above 0", c.Cores)
		}
	}
	if v := file.Limits.MemoryMB; v != nil {
		if c.MemoryMB = *v; c.MemoryMB <= 0 {
			return nil, fmt.Errorf("limits.memory_mb: %d is not above 0", c.MemoryMB)
		}
	}
	if v := file.Limits.Sockets; v != nil {
		if c.Sockets = *v; c.Sockets < minSockets {
			return nil, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, minSockets)
		}
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Names, c.Limits, err = wire.SettingsJSON(seed, file.Settings); err != nil {
		return nil, err
	}
	if c.Registry != nil {
		c.Settings.SubscribeToDiscovery = false // they tell without being asked
		c.Settings.Tags = c.Registry.Tags
	}
	if c.Members, err = file.Members.config(c.Name, getenv("PROXY_MEMBERS")); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if c.Members != nil {
		c.Settings.ReportTTL = c.Members.ReportTTL
	}
	if c.Hitters, c.Settings.Hitters, err = file.Hitters.config(c.Name); err != nil {
		return nil, fmt.Errorf("hitters: %w", err)
	}
	c.Limits.ConnectTimeout = cmp.Or(c.Limits.ConnectTimeout, defaultConnectTimeout)
	c.Limits.IdleClose = cmp.Or(c.Limits.IdleClose, defaultIdleClose)
	if file.Known != nil {
		if c.Known, err = parseList(*file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// config reads what the file says of keepers; environment, if set, names their addresses instead.
func (file *registryFile) config(environment string) (*Registry, error) {
	if file == nil {
		if file = (&registryFile{}); environment == "" {
			return nil, nil
		}
	}
	k := &Registry{Addresses: file.Addresses, Suspicion: client.DefaultDoubt, MaxAge: defaultMaxAge, Reach: file.Reach, Routes: file.Routes, Tags: file.Tags}
	if environment != "" {
		k.Addresses = strings.Split(environment, ",")
	}
	if len(k.Addresses) == 0 {
		return nil, errors.New("none is named")
	}
	for _, a := range k.Addresses {
		if err := checkAddress(a); err != nil {
			return nil, err
		}
	}
	if k.Reach != "" && net.ParseIP(k.Reach) == nil {
		return nil, fmt.Errorf("reach: %q is no IP address", k.Reach)
	}
	if v := file.DoubtShare; v != nil {
		if k.Suspicion.Share = *v; !(*v >= 0 && *v <= 1) {
			return nil, fmt.Errorf("doubt_share: %v is not within 0 to 1", *v)
		}
	}
	if v := file.DoubtLeast; v != nil {
		if k.Suspicion.Least = *v; *v < 0 {
			return nil, fmt.Errorf("doubt_least: %d is below 0", *v)
		}
	}
	for _, s := range []struct {
		name  string
		given *float64
		to    *time.Duration
	}{{"doubt_after_s", file.DoubtAfter, &k.Suspicion.After}, {"doubt_every_s", file.DoubtEvery, &k.Suspicion.Every}, {"most_age_s", file.MostAge, &k.MaxAge}} {
		if s.given == nil {
			continue
		}
		if *s.to = time.Duration(*s.given * float64(time.Second)); !(*s.given > 0 && *s.given <= maxSeconds) {
			return nil, fmt.Errorf("%s: %v is not above 0 and at most %d", s.name, *s.given, maxSeconds)
		}
	}
	return k, nil
}

const maxSeconds = 3600 // seconds

func checkAddress(address string) error {
	if address == "" {
		return errors.New("missing")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no IP address and port", address)
	}
	return nil
}

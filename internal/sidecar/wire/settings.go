package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gradeusher.example/gradeusher/balance"
)

// Names maps the names that requests carry to indexes into the settings.
type Names struct {
	Class  map[string]int
	Tenant map[string]int
}

// Limits are the settings that concern the host rather than the Balancer.
type Limits struct {
	ConnectTimeout time.Duration // a connection not up within it has failed; 0: not given
	IdleTimeout    time.Duration // servers close idle connections after it; 0: not given
	MaxPending     int           // requests pending at once; 0: not given
	MaxRetryAfter  time.Duration // the longest wait that a client honours; 0: not given
}

// settings reads an instance's settings line. Unknown ones are skipped.
func settings(seed uint64, pairs [][]byte) (balance.Settings, *Names, error) {
	reader := &settingsReader{values: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		if key, value, ok := strings.Cut(string(p), "="); ok {
			reader.values[key] = value
		} else if len(p) > 0 {
			return balance.Settings{}, nil, fmt.Errorf("setting %q is no key=value pair", p)
		}
	}
	set, names := reader.settings(seed)
	return set, names, reader.err
}

// SettingsJSON reads the same settings from a nested JSON object, by the same paths and words.
func SettingsJSON(seed uint64, object []byte) (balance.Settings, *Names, Limits, error) {
	reader := &settingsReader{values: map[string]string{}, lists: map[string][]string{}}
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return balance.Settings{}, nil, Limits{}, fmt.Errorf("settings: %w", err)
	}
	reader.flatten("", tree)
	set, names := reader.settings(seed)
	limits := Limits{ConnectTimeout: reader.positiveDuration("limits.connect_timeout_s"), IdleTimeout: reader.positiveDuration("limits.idle_close_s"),
		MaxPending: reader.integer("limits.most_held"), MaxRetryAfter: reader.positiveDuration("limits.max_retry_after_s")}
	if limits.MaxPending < 0 {
		reader.fail("limits.most_held", "a number from 0 up")
	}
	return set, names, limits, reader.err
}

// settings reads the Balancer's settings.
func (c *settingsReader) settings(seed uint64) (balance.Settings, *Names) {
	for _, key := range []string{"peers_total", "ordinal", "request_classes.count", "limits.try_limit", "my_zone"} {
		c.required(key)
	}
	set := balance.Settings{
		Seed:                 seed,
		Index:                c.integer("ordinal"),
		PeerCount:            c.integer("peers_total"),
		Zone:                 c.values["my_zone"],
		Zones:                c.list("areas"),
		Kinds:                c.list("models"),
		MaxAttempts:          c.integer("limits.try_limit"),
		CancelAllowed:        c.boolean("limits.cancelling"),
		SubscribeToDiscovery: chooseWord(c, "discovery", map[string]bool{"pushed": false, "on_request": true}),
		DiscoveryDeadline:    c.duration("rules.must_ask_in_s"),
		WarmUpTime:           c.duration("rules.cold_s"),
		StartCapacity:        c.float("rules.start_capacity"),
		OverloadMultiple:     c.float("rules.fall_multiple"),
		OverloadTime:         c.duration("rules.fall_s"),
		ZoneCrossingCost:     c.float("charges.cross_zone"),
	}
	tier := c.integer("tier")
	if tiers := c.list("tiers"); tier >= 0 && tier < len(tiers) {
		set.Service = tiers[tier]
	}
	names := &Names{Class: map[string]int{}, Tenant: map[string]int{}}
	for i := range c.count("request_classes.count") {
		class := c.class("request_classes." + strconv.Itoa(i) + ".")
		set.Classes = append(set.Classes, class)
		names.Class[class.Name] = i
	}
	for i := range c.count("tenants.count") {
		path := "tenants." + strconv.Itoa(i) + "."
		tenant := balance.Tenant{Name: c.required(path + "name"), Allowance: c.float(path + "allowance_per_s")}
		set.Tenants = append(set.Tenants, tenant)
		names.Tenant[tenant.Name] = i
	}
	return set, names
}

var effects = map[string]balance.Effect{
	"idempotent":   balance.Idempotent,
	"deduplicated": balance.Deduplicated,
	"at_most_once": balance.AtMostOnce,
}

var scopes = map[string]balance.Scope{
	"":     balance.ScopeCell,
	"-":    balance.ScopeCell,
	"all":  balance.ScopeAll,
	"zone": balance.ScopeZone,
	"cell": balance.ScopeCell,
}

// class reads a class of requests below a path.
func (c *settingsReader) class(path string) balance.Class {
	return balance.Class{
		Name:          c.required(path + "name"),
		Effect:        chooseWord(c, path+"effect", effects),
		Scope:         chooseWord(c, path+"group", scopes),
		DedupeWindow:  c.duration(path + "window_s"),
		LatencyTarget: c.duration(path + "aim_s"),
		Deadline:      c.duration(path + "deadline_s"),
		Value:         c.float(path + "credit"),
		LateValue:     c.float(path + "late_value"),
	}
}

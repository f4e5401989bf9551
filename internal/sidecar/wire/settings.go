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

// Names maps the names that requests carry to indexes into balance.Settings.
type Names struct {
	Class  map[string]int // into Settings.Classes
	Tenant map[string]int // into Settings.Tenants
}

// Limits are the settings that concern the host of a Balancer and not the Balancer itself. Zero values were not given.
type Limits struct {
	ConnectTimeout time.Duration // for opening a connection to a server
	IdleTimeout    time.Duration // after which servers close idle connections
	MaxPending     int           // requests that may be pending at once
	MaxRetryAfter  time.Duration // the longest time to stay away that clients honour
}

// parseSettings decodes the key=value pairs of an instance's settings. Unknown keys are ignored.
func parseSettings(seed uint64, pairs [][]byte) (balance.Settings, *Names, error) {
	reader := &settingsReader{values: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		if key, value, ok := strings.Cut(string(p), "="); ok {
			reader.values[key] = value
		} else if len(p) > 0 {
			return balance.Settings{}, nil, fmt.Errorf("setting %q is no key=value pair", p)
		}
	}
	settings, names := reader.balancerSettings(seed)
	return settings, names, reader.err
}

// SettingsJSON reads the same settings from a JSON object, in which the dots of a key of the text wire are levels of nesting and lists
// are arrays. Values have the same units and words. Errors name the key.
func SettingsJSON(seed uint64, object []byte) (balance.Settings, *Names, Limits, error) {
	reader := &settingsReader{values: map[string]string{}, lists: map[string][]string{}}
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return balance.Settings{}, nil, Limits{}, fmt.Errorf("settings: %w", err)
	}
	reader.flatten("", tree)
	settings, names := reader.balancerSettings(seed)
	limits := reader.hostLimits()
	return settings, names, limits, reader.err
}

// hostLimits returns the settings that concern the host.
func (r *settingsReader) hostLimits() Limits {
	limits := Limits{
		ConnectTimeout: r.positiveDuration("limits.connect_timeout_s"),
		IdleTimeout:    r.positiveDuration("limits.idle_close_s"),
		MaxPending:     r.integer("limits.most_held"),
		MaxRetryAfter:  r.positiveDuration("limits.max_retry_after_s"),
	}
	if limits.MaxPending < 0 {
		r.fail("limits.most_held", "a number from 0 up")
	}
	return limits
}

// balancerSettings returns the Balancer's settings. They are valid only if r.err is nil.
func (r *settingsReader) balancerSettings(seed uint64) (balance.Settings, *Names) {
	for _, key := range []string{"peers_total", "ordinal", "request_classes.count", "limits.try_limit", "my_zone"} {
		r.required(key)
	}
	settings := balance.Settings{
		Seed:                 seed,
		Index:                r.integer("ordinal"),
		PeerCount:            r.integer("peers_total"),
		Zone:                 r.values["my_zone"],
		Zones:                r.list("areas"),
		Kinds:                r.list("models"),
		MaxAttempts:          r.integer("limits.try_limit"),
		CancelAllowed:        r.boolean("limits.cancelling"),
		SubscribeToDiscovery: enumValue(r, "discovery", map[string]bool{"pushed": false, "on_request": true}),
		DiscoveryDeadline:    r.duration("rules.must_ask_in_s"),
		WarmUpTime:           r.duration("rules.cold_s"),
		StartCapacity:        r.float("rules.start_capacity"),
		OverloadMultiple:     r.float("rules.fall_multiple"),
		OverloadTime:         r.duration("rules.fall_s"),
		ZoneCrossingCost:     r.float("charges.cross_zone"),
	}
	tier := r.integer("tier")
	if tiers := r.list("tiers"); tier >= 0 && tier < len(tiers) {
		settings.Service = tiers[tier]
	}
	names := &Names{Class: map[string]int{}, Tenant: map[string]int{}}
	for i := range r.count("request_classes.count") {
		class := r.class("request_classes." + strconv.Itoa(i) + ".")
		settings.Classes = append(settings.Classes, class)
		names.Class[class.Name] = i
	}
	for i := range r.count("tenants.count") {
		path := "tenants." + strconv.Itoa(i) + "."
		tenant := balance.Tenant{Name: r.required(path + "name"), Allowance: r.float(path + "allowance_per_s")}
		settings.Tenants = append(settings.Tenants, tenant)
		names.Tenant[tenant.Name] = i
	}
	return settings, names
}

// effects are what a second execution of a request may do, by their words.
var effects = map[string]balance.Effect{
	"idempotent":   balance.Idempotent,
	"deduplicated": balance.Deduplicated,
	"at_most_once": balance.AtMostOnce,
}

// scopes are the sets of servers that drop each other's duplicates, by their words.
var scopes = map[string]balance.Scope{
	"":     balance.ScopeCell,
	"-":    balance.ScopeCell,
	"all":  balance.ScopeAll,
	"zone": balance.ScopeZone,
	"cell": balance.ScopeCell,
}

// class returns the class of requests whose keys begin with path.
func (r *settingsReader) class(path string) balance.Class {
	return balance.Class{
		Name:          r.required(path + "name"),
		Effect:        enumValue(r, path+"effect", effects),
		Scope:         enumValue(r, path+"group", scopes),
		DedupeWindow:  r.duration(path + "window_s"),
		LatencyTarget: r.duration(path + "aim_s"),
		Deadline:      r.duration(path + "deadline_s"),
		Value:         r.float(path + "credit"),
		LateValue:     r.float(path + "late_value"),
	}
}

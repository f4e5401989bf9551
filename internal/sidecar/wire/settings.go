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

// parseSettings reads an instance's settings line. Unknown ones are skipped.
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
	settings, names := reader.balancerSettings(seed)
	limits := reader.hostLimits()
	return settings, names, limits, reader.err
}

// hostLimits reads the settings that concern the host.
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

// balancerSettings reads the Balancer's settings.
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

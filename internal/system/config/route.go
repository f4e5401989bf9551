package config

import (
	"math"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

func (d *itemDecoder) route(raw []byte) (*Route, error) {
	object, name, err := d.namedObject(raw, "route")
	if err != nil {
		return nil, err
	}
	route := &Route{
		Name:           name,
		Host:           object.stringField("hostname", true),
		Prefix:         object.stringField("path_prefix", true),
		Timeout:        object.durationField("timeout_ms", time.Millisecond, noDuration),
		EventGapTarget: object.durationField("gap_aim_ms", time.Millisecond, 0),
		Priority:       int(object.integerField("priority", math.MaxInt32)),
		MaxAttempts:    max(1, int(object.integerField("max_tries", math.MaxInt32))),
		Sticky:         object.boolField("sticky"),
		Resumable:      object.boolField("resumable"),
		Public:         object.boolField("public"),
	}
	route.LatencyTarget = object.durationField("target_latency_ms", time.Millisecond, route.Timeout)
	route.Category = object.readCategory()
	object.checkRoute(route)
	object.readShares(route)
	route.HomeRegions = object.readHomeRegions()
	return route, object.err
}

// noDuration represents an absent duration.
const noDuration = time.Duration(-1)

// readCategory reads the category. It defaults to NonIdempotent, since a request must not run twice by mistake.
func (r *objectReader) readCategory() Category {
	switch category := r.stringField("category", false); category {
	case "idempotent":
		return Idempotent
	case "non_idempotent", "":
		return NonIdempotent
	case "streaming":
		return Streaming
	default:
		r.fail("category %q is unknown: send idempotent, non_idempotent or streaming", category)
		return Idempotent
	}
}

// checkRoute validates the required fields of a route.
func (r *objectReader) checkRoute(route *Route) {
	if r.err == nil && route.Timeout < 0 {
		r.fail("timeout_ms is missing: add it")
	}
	if route.Timeout == 0 {
		r.fail("timeout_ms is 0: send a time above 0")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		r.fail("path_prefix %q does not begin and end with a slash: add it", route.Prefix)
	}
	if r.err == nil && hostKey(route.Host) == "" {
		r.fail("hostname %q is empty: fill it", route.Host)
	}
}

// readShares reads the shares, or the single target. Shares of the same service are added up at the position of the first.
func (r *objectReader) readShares(route *Route) {
	target, list := r.get("target"), r.get("shares")
	if list != nil && list.Type() != fastjson.TypeArray {
		r.fail("shares is no list: send [...]")
		return
	}
	if target != nil {
		if len(list.GetArray()) > 0 {
			r.fail("has target and shares: leave one")
		}
		route.Shares = []Share{{Service: r.stringField("target", true), Weight: 1}}
		return
	}
	sum, values := 0.0, list.GetArray()
	route.Shares = make([]Share, 0, len(values))
	for _, value := range values {
		share, ok := r.readShare(value)
		if !ok {
			return
		}
		sum += share.Weight
		route.addShare(share)
	}
	if len(route.Shares) == 0 {
		r.fail("has neither target nor shares: add one")
	}
	if sum <= 0 {
		r.fail("the shares add up to 0: raise one")
	}
	if math.IsInf(sum, 0) {
		r.fail("the shares add up to more than can be counted: lower them")
	}
}

// readShare reads one element of shares, and returns false if it is not an object.
func (r *objectReader) readShare(value *fastjson.Value) (Share, bool) {
	if value.Type() != fastjson.TypeObject {
		r.fail("a share is no object: send {...}")
		return Share{}, false
	}
	route := r.value
	r.value = value
	share := Share{Service: r.stringField("target", true), Weight: r.nonNegativeNumber("share", -1)}
	r.value = route
	if r.err == nil && share.Weight < 0 {
		r.fail("the share of %q is missing: add it", share.Service)
	}
	return share, true
}

func (r *Route) addShare(s Share) {
	for i := range r.Shares {
		if r.Shares[i].Service == s.Service {
			r.Shares[i].Weight += s.Weight
			return
		}
	}
	r.Shares = append(r.Shares, s)
}

func (r *objectReader) readHomeRegions() []string {
	var regions []string
	for _, element := range r.listField("home_regions") {
		name, err := element.StringBytes()
		if err != nil || len(name) == 0 {
			r.fail("home_regions holds something that is no name: send names in quotes")
			return nil
		}
		regions = append(regions, r.decoder.intern(name))
	}
	return regions
}

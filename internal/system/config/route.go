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
func (it *objectReader) readCategory() Category {
	switch category := it.stringField("category", false); category {
	case "idempotent":
		return Idempotent
	case "non_idempotent", "":
		return NonIdempotent
	case "streaming":
		return Streaming
	default:
		it.fail("category %q is unknown: send idempotent, non_idempotent or streaming", category)
		return Idempotent
	}
}

// checkRoute validates the required fields of a route.
func (it *objectReader) checkRoute(route *Route) {
	if it.err == nil && route.Timeout < 0 {
		it.fail("timeout_ms is missing: add it")
	}
	if route.Timeout == 0 {
		it.fail("timeout_ms is 0: send a time above 0")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		it.fail("path_prefix %q does not begin and end with a slash: add it", route.Prefix)
	}
	if it.err == nil && hostKey(route.Host) == "" {
		it.fail("hostname %q is empty: fill it", route.Host)
	}
}

// readShares reads the shares, or the single target. Shares of the same service are added up at the position of the first.
func (it *objectReader) readShares(route *Route) {
	target, list := it.get("target"), it.get("shares")
	if list != nil && list.Type() != fastjson.TypeArray {
		it.fail("shares is no list: send [...]")
		return
	}
	if target != nil {
		if len(list.GetArray()) > 0 {
			it.fail("has target and shares: leave one")
		}
		route.Shares = []Share{{Service: it.stringField("target", true), Weight: 1}}
		return
	}
	sum, values := 0.0, list.GetArray()
	route.Shares = make([]Share, 0, len(values))
	for _, value := range values {
		share, ok := it.readShare(value)
		if !ok {
			return
		}
		sum += share.Weight
		route.addShare(share)
	}
	if len(route.Shares) == 0 {
		it.fail("has neither target nor shares: add one")
	}
	if sum <= 0 {
		it.fail("the shares add up to 0: raise one")
	}
	if math.IsInf(sum, 0) {
		it.fail("the shares add up to more than can be counted: lower them")
	}
}

// readShare reads one element of shares, and returns false if it is not an object.
func (it *objectReader) readShare(value *fastjson.Value) (Share, bool) {
	if value.Type() != fastjson.TypeObject {
		it.fail("a share is no object: send {...}")
		return Share{}, false
	}
	route := it.value
	it.value = value
	share := Share{Service: it.stringField("target", true), Weight: it.nonNegativeNumber("share", -1)}
	it.value = route
	if it.err == nil && share.Weight < 0 {
		it.fail("the share of %q is missing: add it", share.Service)
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

func (it *objectReader) readHomeRegions() []string {
	var regions []string
	for _, element := range it.listField("home_regions") {
		name, err := element.StringBytes()
		if err != nil || len(name) == 0 {
			it.fail("home_regions holds something that is no name: send names in quotes")
			return nil
		}
		regions = append(regions, it.decoder.intern(name))
	}
	return regions
}

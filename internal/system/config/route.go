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
		Name: name, Host: object.stringField("hostname", true), Prefix: object.stringField("path_prefix", true),
		Timeout:        object.durationField("timeout_ms", time.Millisecond, -1),
		EventGapTarget: object.durationField("gap_aim_ms", time.Millisecond, 0),
		Priority:       int(object.integerField("priority", math.MaxInt32)),
		MaxTries:       max(1, int(object.integerField("max_tries", math.MaxInt32))),
		Sticky:         object.boolField("sticky"), Resumable: object.boolField("resumable"),
	}
	route.LatencyTarget = object.durationField("target_latency_ms", time.Millisecond, route.Timeout)
	switch c := object.stringField("category", false); c {
	case "idempotent":
		route.Category = Idempotent
	case "non_idempotent", "": // what is not told may not be repeated
		route.Category = NonIdempotent
	case "streaming":
		route.Category = Streaming
	default:
		object.fail("category %q is unknown: send idempotent, non_idempotent or streaming", c)
	}
	if object.err == nil && route.Timeout < 0 {
		object.fail("timeout_ms is missing: add it")
	}
	if route.Timeout == 0 {
		object.fail("timeout_ms is 0: send a time above 0")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		object.fail("path_prefix %q does not begin and end with a slash: add it", route.Prefix)
	}
	if object.err == nil && hostKey(route.Host) == "" {
		object.fail("hostname %q is empty: fill it", route.Host)
	}
	object.readShares(route)
	object.readHomeRegions(route)
	return route, object.err
}

// readShares reads the groups. Shares of one service are added up, at the place of the first.
func (it *objectReader) readShares(r *Route) {
	target, list := it.get("target"), it.get("shares")
	if list != nil && list.Type() != fastjson.TypeArray {
		it.fail("shares is no list: send [...]")
		return
	}
	if target != nil {
		if len(list.GetArray()) > 0 {
			it.fail("has target and shares: leave one")
		}
		r.Shares = []Share{{Service: it.stringField("target", true), Weight: 1}}
		return
	}
	sum, whole := 0.0, it.value
	values := list.GetArray()
	r.Shares = make([]Share, 0, len(values))
	for _, e := range values {
		if e.Type() != fastjson.TypeObject {
			it.fail("a share is no object: send {...}")
			return
		}
		it.value = e
		s := Share{Service: it.stringField("target", true), Weight: it.nonNegativeNumber("share", -1)}
		it.value = whole
		if it.err == nil && s.Weight < 0 {
			it.fail("the share of %q is missing: add it", s.Service)
		}
		sum += s.Weight
		r.addShare(s)
	}
	if len(r.Shares) == 0 {
		it.fail("has neither target nor shares: add one")
	}
	if sum <= 0 {
		it.fail("the shares add up to 0: raise one")
	}
	if math.IsInf(sum, 0) {
		it.fail("the shares add up to more than can be counted: lower them")
	}
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

func (it *objectReader) readHomeRegions(r *Route) {
	v := it.get("home_regions")
	if v == nil {
		return
	}
	if v.Type() != fastjson.TypeArray {
		it.fail("home_regions is no list: send [...]")
		return
	}
	for _, e := range v.GetArray() {
		b, err := e.StringBytes()
		if err != nil || len(b) == 0 {
			it.fail("home_regions holds something that is no name: send names in quotes")
			return
		}
		r.HomeRegions = append(r.HomeRegions, it.decoder.intern(b))
	}
}

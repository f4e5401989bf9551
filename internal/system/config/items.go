package config

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// maxDuration bounds told times, so that sums of them do not overflow.
const maxDuration = 365 * 24 * time.Hour

// objectReader reads the fields of one object and keeps the first error.
type objectReader struct {
	decoder *itemDecoder
	value   *fastjson.Value
	label   string
	err     error
}

// object reads one object; what names it in messages.
func (d *itemDecoder) object(raw []byte, what string) (*objectReader, error) {
	v, err := d.parse(raw, what)
	if err != nil {
		return nil, err
	}
	if v.Type() != fastjson.TypeObject {
		return nil, invalid("%s is no object: send {...}", what)
	}
	return &objectReader{decoder: d, value: v, label: what}, nil
}

// namedObject is item for those that need a name.
func (d *itemDecoder) namedObject(raw []byte, kind string) (*objectReader, string, error) {
	object, err := d.object(raw, "a "+kind)
	if err != nil {
		return nil, "", err
	}
	name := object.stringField("name", true)
	object.label = kind + ` "` + name + `"`
	return object, name, object.err
}

func (it *objectReader) fail(format string, args ...any) {
	if it.err == nil {
		it.err = invalid("%s: %s", it.label, fmt.Sprintf(format, args...))
	}
}

// get returns a field, nil where it is absent or null.
func (it *objectReader) get(key string) *fastjson.Value {
	v := it.value.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (it *objectReader) stringField(key string, needed bool) string {
	v := it.get(key)
	if v == nil {
		if needed {
			it.fail("%s is missing: add it", key)
		}
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		it.fail("%s is no string: quote it", key)
		return ""
	}
	if needed && len(b) == 0 {
		it.fail("%s is empty: fill it", key)
	}
	return it.decoder.intern(b)
}

func (it *objectReader) boolField(key string) bool {
	v := it.get(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		it.fail("%s is neither true nor false: send one of them", key)
	}
	return b
}

// nonNegativeNumber returns a finite nonNegativeNumber, 0 or more; absent where it is not there.
func (it *objectReader) nonNegativeNumber(key string, absent float64) float64 {
	v := it.get(key)
	if v == nil {
		return absent
	}
	f, err := v.Float64()
	switch {
	case v.Type() != fastjson.TypeNumber || err != nil || math.IsInf(f, 0) || math.IsNaN(f):
		it.fail("%s is no number that can be read: send a number without quotes", key)
		return 0
	case f < 0:
		it.fail("%s is %g: send 0 or more", key, f)
		return 0
	}
	return f
}

// integerField returns a number without its fraction, at most most.
func (it *objectReader) integerField(key string, most int64) int64 {
	return int64(math.Min(it.nonNegativeNumber(key, 0), float64(most)))
}

// durationField returns a time of the given unit, absent where there is none. One above 0 stays above 0.
func (it *objectReader) durationField(key string, unit, absent time.Duration) time.Duration {
	f := it.nonNegativeNumber(key, -1)
	if f < 0 {
		return absent
	}
	return time.Duration(math.Ceil(math.Min(f*float64(unit), float64(maxDuration))))
}

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

func (d *itemDecoder) service(raw []byte) (*Service, error) {
	object, name, err := d.namedObject(raw, "service")
	if err != nil {
		return nil, err
	}
	service := &Service{
		Name: name, HealthPath: object.stringField("health_path", false),
		MaxConns:   int(object.integerField("max_conns", math.MaxInt32)),
		WarmUpTime: object.durationField("cold_s", time.Second, 0),
		WarmUpRate: object.nonNegativeNumber("cold_per_s", 0),
	}
	if e := object.get("engine"); e != nil {
		if e.Type() != fastjson.TypeObject {
			object.fail("engine is no object: send {...}")
			return nil, object.err
		}
		object.value = e
		service.Engine = &Engine{
			Slots:          int(object.integerField("slots", math.MaxInt32)),
			CacheTokens:    object.integerField("cache_tokens", 1<<53),
			TokensPerEvent: int(object.integerField("stride", math.MaxInt32)),
		}
		if m := object.get("models"); m != nil {
			if m.Type() != fastjson.TypeArray {
				object.fail("models is no list: send [...]")
			}
			for _, x := range m.GetArray() {
				if x.Type() != fastjson.TypeObject {
					object.fail("a model is no object: send {...}")
					break
				}
				object.value = x
				service.Engine.Models = append(service.Engine.Models, object.stringField("name", true))
			}
		}
	}
	return service, object.err
}

func (d *itemDecoder) limits(raw []byte) (Limits, error) {
	object, err := d.object(raw, "limits")
	if err != nil {
		return Limits{}, err
	}
	limits := Limits{
		HeaderBytes: object.integerField("max_header_bytes", 1<<40), BodyBytes: object.integerField("max_body_bytes", 1<<40),
		HeaderTimeout: object.durationField("header_timeout_ms", time.Millisecond, 0),
		IdleTimeout:   object.durationField("idle_timeout_ms", time.Millisecond, 0),
	}
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes = defaultLimits.HeaderBytes
	}
	if limits.BodyBytes == 0 {
		limits.BodyBytes = defaultLimits.BodyBytes
	}
	if limits.HeaderTimeout == 0 {
		limits.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = defaultLimits.IdleTimeout
	}
	return limits, object.err
}

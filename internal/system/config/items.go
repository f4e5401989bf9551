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

// item reads the fields of one object and keeps the first error.
type item struct {
	d    *decoder
	v    *fastjson.Value
	what string
	err  error
}

// item reads one object; what names it in messages.
func (d *decoder) item(raw []byte, what string) (*item, error) {
	v, err := d.parse(raw, what)
	if err != nil {
		return nil, err
	}
	if v.Type() != fastjson.TypeObject {
		return nil, invalid("%s is no object: send {...}", what)
	}
	return &item{d: d, v: v, what: what}, nil
}

// named is item for those that need a name.
func (d *decoder) named(raw []byte, kind string) (*item, string, error) {
	it, err := d.item(raw, "a "+kind)
	if err != nil {
		return nil, "", err
	}
	name := it.text("name", true)
	it.what = kind + ` "` + name + `"`
	return it, name, it.err
}

func (it *item) fail(format string, args ...any) {
	if it.err == nil {
		it.err = invalid("%s: %s", it.what, fmt.Sprintf(format, args...))
	}
}

// get returns a field, nil where it is absent or null.
func (it *item) get(key string) *fastjson.Value {
	v := it.v.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (it *item) text(key string, needed bool) string {
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
	return it.d.intern(b)
}

func (it *item) flag(key string) bool {
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

// number returns a finite number, 0 or more; absent where it is not there.
func (it *item) number(key string, absent float64) float64 {
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

// count returns a number without its fraction, at most most.
func (it *item) count(key string, most int64) int64 {
	return int64(math.Min(it.number(key, 0), float64(most)))
}

// span returns a time of the given unit, absent where there is none. One above 0 stays above 0.
func (it *item) span(key string, unit, absent time.Duration) time.Duration {
	f := it.number(key, -1)
	if f < 0 {
		return absent
	}
	return time.Duration(math.Ceil(math.Min(f*float64(unit), float64(maxDuration))))
}

func (d *decoder) route(raw []byte) (*Route, error) {
	it, name, err := d.named(raw, "route")
	if err != nil {
		return nil, err
	}
	r := &Route{
		Name: name, Host: it.text("hostname", true), Prefix: it.text("path_prefix", true),
		Timeout:        it.span("timeout_ms", time.Millisecond, -1),
		EventGapTarget: it.span("gap_aim_ms", time.Millisecond, 0),
		Priority:       int(it.count("priority", math.MaxInt32)),
		MaxTries:       max(1, int(it.count("max_tries", math.MaxInt32))),
		Sticky:         it.flag("sticky"), Resumable: it.flag("resumable"),
	}
	r.LatencyTarget = it.span("target_latency_ms", time.Millisecond, r.Timeout)
	switch c := it.text("category", false); c {
	case "idempotent":
		r.Category = Idempotent
	case "non_idempotent", "": // what is not told may not be repeated
		r.Category = NonIdempotent
	case "streaming":
		r.Category = Streaming
	default:
		it.fail("category %q is unknown: send idempotent, non_idempotent or streaming", c)
	}
	if it.err == nil && r.Timeout < 0 {
		it.fail("timeout_ms is missing: add it")
	}
	if r.Timeout == 0 {
		it.fail("timeout_ms is 0: send a time above 0")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		it.fail("path_prefix %q does not begin and end with a slash: add it", r.Prefix)
	}
	if it.err == nil && hostKey(r.Host) == "" {
		it.fail("hostname %q is empty: fill it", r.Host)
	}
	it.shares(r)
	it.homes(r)
	return r, it.err
}

// shares reads the groups. Shares of one service are added up, at the place of the first.
func (it *item) shares(r *Route) {
	target, list := it.get("target"), it.get("shares")
	if list != nil && list.Type() != fastjson.TypeArray {
		it.fail("shares is no list: send [...]")
		return
	}
	if target != nil {
		if len(list.GetArray()) > 0 {
			it.fail("has target and shares: leave one")
		}
		r.Shares = []Share{{Service: it.text("target", true), Weight: 1}}
		return
	}
	sum, whole := 0.0, it.v
	values := list.GetArray()
	r.Shares = make([]Share, 0, len(values))
	for _, e := range values {
		if e.Type() != fastjson.TypeObject {
			it.fail("a share is no object: send {...}")
			return
		}
		it.v = e
		s := Share{Service: it.text("target", true), Weight: it.number("share", -1)}
		it.v = whole
		if it.err == nil && s.Weight < 0 {
			it.fail("the share of %q is missing: add it", s.Service)
		}
		sum += s.Weight
		r.add(s)
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

func (r *Route) add(s Share) {
	for i := range r.Shares {
		if r.Shares[i].Service == s.Service {
			r.Shares[i].Weight += s.Weight
			return
		}
	}
	r.Shares = append(r.Shares, s)
}

func (it *item) homes(r *Route) {
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
		r.HomeRegions = append(r.HomeRegions, it.d.intern(b))
	}
}

func (d *decoder) service(raw []byte) (*Service, error) {
	it, name, err := d.named(raw, "service")
	if err != nil {
		return nil, err
	}
	s := &Service{
		Name: name, HealthPath: it.text("health_path", false),
		MaxConns:   int(it.count("max_conns", math.MaxInt32)),
		WarmUpTime: it.span("cold_s", time.Second, 0),
		WarmUpRate: it.number("cold_per_s", 0),
	}
	if e := it.get("engine"); e != nil {
		if e.Type() != fastjson.TypeObject {
			it.fail("engine is no object: send {...}")
			return nil, it.err
		}
		it.v = e
		s.Engine = &Engine{
			Slots:          int(it.count("slots", math.MaxInt32)),
			CacheTokens:    it.count("cache_tokens", 1<<53),
			TokensPerEvent: int(it.count("stride", math.MaxInt32)),
		}
		if m := it.get("models"); m != nil {
			if m.Type() != fastjson.TypeArray {
				it.fail("models is no list: send [...]")
			}
			for _, x := range m.GetArray() {
				if x.Type() != fastjson.TypeObject {
					it.fail("a model is no object: send {...}")
					break
				}
				it.v = x
				s.Engine.Models = append(s.Engine.Models, it.text("name", true))
			}
		}
	}
	return s, it.err
}

func (d *decoder) limits(raw []byte) (Limits, error) {
	it, err := d.item(raw, "limits")
	if err != nil {
		return Limits{}, err
	}
	l := Limits{
		HeaderBytes: it.count("max_header_bytes", 1<<40), BodyBytes: it.count("max_body_bytes", 1<<40),
		HeaderTimeout: it.span("header_timeout_ms", time.Millisecond, 0),
		IdleTimeout:   it.span("idle_timeout_ms", time.Millisecond, 0),
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultLimits.HeaderBytes
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultLimits.BodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	return l, it.err
}

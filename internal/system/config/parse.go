package config

import (
	"bytes"
	"math"

	"github.com/valyala/fastjson"
)

// Limits where the configuration has none.
var defaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3e9, IdleTimeout: 15e9}

// Parse reads and checks a whole configuration. The result keeps raw, which must not be changed afterwards. Fields that
// it does not know are passed over. Every error is an ErrInvalid.
func Parse(raw []byte) (*Config, error) {
	if err := validate(raw); err != nil {
		return nil, err
	}
	fields, err := members(raw, "the configuration")
	if err != nil {
		return nil, err
	}
	c := &Config{Raw: raw, Limits: defaultLimits, Services: map[string]*Service{}}
	d := newDecoder()
	var sawRevision, sawRoutes, sawServices bool
	for _, f := range fields {
		switch f.key {
		case "revision":
			sawRevision = true
			c.Revision, err = d.revision(f.value)
		case "services":
			sawServices = true
			err = d.list(f, func(item []byte) error {
				s, err := d.service(item)
				if err != nil {
					return err
				}
				return c.addService(s)
			})
		case "routes":
			sawRoutes = true
			c.Routes = make([]*Route, 0, bytes.Count(f.value, []byte(`"path_prefix"`)))
			err = d.list(f, func(item []byte) error {
				r, err := d.route(item)
				c.Routes = append(c.Routes, r)
				return err
			})
		case "limits":
			if !f.isNull {
				c.Limits, err = d.limits(f.value)
			}
		default:
			_, err = d.parse(f.value, f.key)
		}
		if err != nil {
			return nil, err
		}
	}
	switch {
	case !sawRevision:
		return nil, invalid("revision is missing: number the configuration")
	case !sawRoutes:
		return nil, invalid("routes are missing: send the whole configuration, or Config.Amend")
	case !sawServices:
		return nil, invalid("services are missing: send the whole configuration, or Config.Amend")
	}
	if err := c.finish(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) addService(s *Service) error {
	if c.Services[s.Name] != nil {
		return invalid("service %q is there twice: leave one", s.Name)
	}
	c.Services[s.Name] = s
	c.serviceNames = append(c.serviceNames, s.Name)
	return nil
}

// finish checks what concerns several items, and makes the index.
func (c *Config) finish() error {
	names := make(map[string]struct{}, len(c.Routes))
	for _, r := range c.Routes {
		if _, ok := names[r.Name]; ok {
			return invalid("route %q is there twice: leave one", r.Name)
		}
		names[r.Name] = struct{}{}
		for _, s := range r.Shares {
			if c.Services[s.Service] == nil {
				return invalid("route %q names the unknown service %q: add the service or name another", r.Name, s.Service)
			}
		}
	}
	return c.index()
}

// decoder reads items with one parser, so that memory for the JSON of one item is all that it takes.
type decoder struct {
	parser fastjson.Parser
	names  map[string]string // each text once, however many items hold it
}

func newDecoder() *decoder { return &decoder{names: map[string]string{}} }

func (d *decoder) parse(raw []byte, what string) (*fastjson.Value, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil {
		return nil, invalid("%s cannot be read: %v", what, err)
	}
	return v, noRepeats(v, what)
}

func (d *decoder) intern(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	s := string(b)
	d.names[s] = s
	return s
}

func (d *decoder) list(f member, item func([]byte) error) error {
	ok, err := elements(f.value, item)
	if !ok {
		return invalid("%s is no list: send [...]", f.key)
	}
	return err
}

// revision reads a whole number above 0.
func (d *decoder) revision(raw []byte) (int64, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil || v.Type() != fastjson.TypeNumber {
		return 0, invalid("revision is no number: send a whole number above 0")
	}
	n, err := v.Int64()
	if err != nil {
		f := v.GetFloat64()
		if n = int64(f); float64(n) != f || math.Abs(f) > 1<<53 {
			return 0, invalid("revision %s is no whole number: send one above 0", raw)
		}
	}
	if n <= 0 {
		return 0, invalid("revision %d is not above 0: send a higher one", n)
	}
	return n, nil
}

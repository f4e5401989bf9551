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
	if err := validateJSON(raw); err != nil {
		return nil, err
	}
	fields, err := members(raw, "the configuration")
	if err != nil {
		return nil, err
	}
	parsed := &Config{Raw: raw, Limits: defaultLimits, Services: map[string]*Service{}}
	decoder := newDecoder()
	var sawRevision, sawRoutes, sawServices bool
	for _, field := range fields {
		switch field.key {
		case "revision":
			sawRevision = true
			parsed.Revision, err = decoder.revision(field.value)
		case "services":
			sawServices = true
			err = decoder.forEachItem(field, func(item []byte) error {
				s, err := decoder.service(item)
				if err != nil {
					return err
				}
				return parsed.addService(s)
			})
		case "routes":
			sawRoutes = true
			parsed.Routes = make([]*Route, 0, bytes.Count(field.value, []byte(`"path_prefix"`)))
			err = decoder.forEachItem(field, func(item []byte) error {
				r, err := decoder.route(item)
				parsed.Routes = append(parsed.Routes, r)
				return err
			})
		case "limits":
			if !field.isNull {
				parsed.Limits, err = decoder.limits(field.value)
			}
		default:
			_, err = decoder.parse(field.value, field.key)
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
	if err := parsed.checkReferences(); err != nil {
		return nil, err
	}
	return parsed, nil
}

func (c *Config) addService(s *Service) error {
	if c.Services[s.Name] != nil {
		return invalid("service %q is there twice: leave one", s.Name)
	}
	c.Services[s.Name] = s
	c.serviceNames = append(c.serviceNames, s.Name)
	return nil
}

// checkReferences checks what concerns several items, and makes the index.
func (c *Config) checkReferences() error {
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
	return c.indexHosts()
}

// itemDecoder reads items with one parser, so that memory for the JSON of one item is all that it takes.
type itemDecoder struct {
	parser fastjson.Parser
	names  map[string]string // each text once, however many items hold it
}

func newDecoder() *itemDecoder { return &itemDecoder{names: map[string]string{}} }

func (d *itemDecoder) parse(raw []byte, what string) (*fastjson.Value, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil {
		return nil, invalid("%s cannot be read: %v", what, err)
	}
	return v, rejectDuplicateKeys(v, what)
}

func (d *itemDecoder) intern(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	s := string(b)
	d.names[s] = s
	return s
}

func (d *itemDecoder) forEachItem(f member, item func([]byte) error) error {
	ok, err := forEachElement(f.value, item)
	if !ok {
		return invalid("%s is no list: send [...]", f.key)
	}
	return err
}

// revision reads a whole number above 0.
func (d *itemDecoder) revision(raw []byte) (int64, error) {
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

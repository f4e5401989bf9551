package config

import "bytes"

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

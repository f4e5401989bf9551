package config

import (
	"bytes"
	"time"
)

// defaultLimits are the limits of a configuration that specifies none.
var defaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Parse decodes and validates a complete configuration. The result retains raw, which must not be changed afterwards. Unknown
// fields must be valid JSON and are ignored. Every error matches ErrInvalid.
func Parse(raw []byte) (*Config, error) { return parse(raw, newDecoder()) }

// ParseAccepted is like Parse, for a configuration that was accepted before, possibly by a version that did not check for shared keys:
// a key that tenants share is not an error, and belongs to no tenant.
func ParseAccepted(raw []byte) (*Config, error) { return parse(raw, newDecoderForAccepted()) }

func parse(raw []byte, decoder *itemDecoder) (*Config, error) {
	if err := validateJSON(raw); err != nil {
		return nil, err
	}
	fields, err := members(raw, "the configuration")
	if err != nil {
		return nil, err
	}
	parsed := &Config{Raw: raw, Limits: defaultLimits, Services: map[string]*Service{}}
	seen := map[string]bool{}
	for _, field := range fields {
		seen[field.key] = true
		if err := parsed.parseField(decoder, field); err != nil {
			return nil, err
		}
	}
	switch {
	case !seen["revision"]:
		return nil, invalid("revision is missing: number the configuration")
	case !seen["routes"]:
		return nil, invalid("routes are missing: send the whole configuration, or Config.Amend")
	case !seen["services"]:
		return nil, invalid("services are missing: send the whole configuration, or Config.Amend")
	}
	if err := parsed.checkReferences(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// parseField decodes one top-level field.
func (c *Config) parseField(decoder *itemDecoder, field member) error {
	var err error
	switch field.key {
	case "revision":
		c.Revision, err = decoder.revision(field.value)
	case "services":
		err = c.parseServices(decoder, field)
	case "routes":
		err = c.parseRoutes(decoder, field)
	case "tenants":
		err = c.parseTenants(decoder, field)
	case "limits":
		if !field.isNull {
			c.Limits, err = decoder.limits(field.value)
		}
	default:
		_, err = decoder.parse(field.value, field.key)
	}
	return err
}

func (c *Config) parseServices(decoder *itemDecoder, field member) error {
	return decoder.forEachItem(field, func(item []byte) error {
		service, err := decoder.service(item)
		if err != nil {
			return err
		}
		return c.addService(service)
	})
}

func (c *Config) parseRoutes(decoder *itemDecoder, field member) error {
	c.Routes = make([]*Route, 0, bytes.Count(field.value, []byte(`"path_prefix"`)))
	return decoder.forEachItem(field, func(item []byte) error {
		route, err := decoder.route(item)
		c.Routes = append(c.Routes, route)
		return err
	})
}

func (c *Config) addService(s *Service) error {
	if c.Services[s.Name] != nil {
		return invalid("service %q is there twice: leave one", s.Name)
	}
	c.Services[s.Name] = s
	c.serviceNames = append(c.serviceNames, s.Name)
	return nil
}

// checkReferences checks that route names are unique and that shares name existing services, and builds the index for Match.
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

package config

import (
	"crypto/sha256"
	"math"
)

// NoPriority is the Priority of a tenant without its own priority: the route's priority applies.
const NoPriority = -1

// KeyDigest is the SHA-256 digest of an API key. Only the digests of keys are kept, so that neither logs nor the duration of a
// look-up reveal anything about the keys.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is one entry of tenants: a customer, whose requests carry one of its API keys.
type Tenant struct {
	Name          string
	Keys          []KeyDigest // in the operator's order; if empty, no request can authenticate as the tenant
	Priority      int         // 0 is the highest; overrides the route's priority; NoPriority if absent
	RatePerSecond float64     // requests per second across all proxies, finite; 0: no limit, regardless of Burst
	Burst         float64     // requests beyond RatePerSecond that may arrive at the same time, 0 or more and finite
	HomeRegions   []string    // by name, in addition to those of the route; empty: all regions
}

// TenantOfKey returns the tenant to which an API key belongs, or nil if there is none. It takes one look-up by the key's digest, so
// that its duration does not depend on which keys exist.
func (c *Config) TenantOfKey(key string) *Tenant {
	if c == nil {
		return nil
	}
	return c.tenantOfKey[DigestKey(key)]
}

// tenant decodes one item of tenants. Its errors do not contain keys.
func (d *itemDecoder) tenant(raw []byte) (*Tenant, error) {
	object, name, err := d.namedObject(raw, "tenant")
	if err != nil {
		return nil, err
	}
	tenant := &Tenant{
		Name:          name,
		Keys:          object.readKeys(),
		Priority:      int(math.Min(object.nonNegativeNumber("priority", NoPriority), math.MaxInt32)),
		RatePerSecond: object.nonNegativeNumber("rate_per_s", 0),
		Burst:         object.nonNegativeNumber("burst", 0),
		HomeRegions:   object.readHomeRegions(),
	}
	return tenant, object.err
}

// readKeys returns the digests of api_keys. An empty key is rejected, since a request without a key would match it.
func (r *objectReader) readKeys() []KeyDigest {
	var keys []KeyDigest
	for _, element := range r.listField("api_keys") {
		key, err := element.StringBytes()
		if err != nil || len(key) == 0 {
			r.fail("api_keys holds something that is no key: send texts that are not empty, in quotes")
			return nil
		}
		keys = append(keys, sha256.Sum256(key))
	}
	return keys
}

// parseTenants decodes the field tenants.
func (c *Config) parseTenants(decoder *itemDecoder, field member) error {
	if field.isNull {
		return nil
	}
	c.HasTenants, c.Tenants = true, []*Tenant{}
	err := decoder.forEachItem(field, func(item []byte) error {
		tenant, err := decoder.tenant(item)
		c.Tenants = append(c.Tenants, tenant)
		return err
	})
	if err != nil {
		return err
	}
	return c.indexTenants(decoder.allowsSharedKeys)
}

// indexTenants builds the index for TenantOfKey, and checks that names are unique. A key that two tenants share is an error or, if
// allowsSharedKeys, belongs to no tenant.
func (c *Config) indexTenants(allowsSharedKeys bool) error {
	names := make(map[string]struct{}, len(c.Tenants))
	c.tenantOfKey = make(map[KeyDigest]*Tenant, len(c.Tenants))
	var shared []KeyDigest
	for _, tenant := range c.Tenants {
		if _, ok := names[tenant.Name]; ok {
			return invalid("tenant %q is there twice: leave one", tenant.Name)
		}
		names[tenant.Name] = struct{}{}
		for _, key := range tenant.Keys {
			if other := c.tenantOfKey[key]; other != nil && other != tenant {
				if !allowsSharedKeys {
					return invalid("tenants %q and %q share an API key: give it to one of them", other.Name, tenant.Name)
				}
				shared = append(shared, key)
			}
			c.tenantOfKey[key] = tenant
		}
	}
	for _, key := range shared {
		delete(c.tenantOfKey, key)
	}
	return nil
}

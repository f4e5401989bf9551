package config

import (
	"crypto/sha256"
	"math"
)

// NoPriority is the Priority of a tenant that has none of its own: that of the route counts.
const NoPriority = -1

// KeyDigest is the SHA-256 digest of an API key. Keys are kept only so, and so that neither what is logged nor how long a look-up
// takes tells anything of them.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is one entry of tenants: a customer, whose requests carry one of its API keys.
type Tenant struct {
	Name          string
	Keys          []KeyDigest // in the operator's order; none: nobody can send in its name
	Priority      int         // 0 is the highest, goes before that of the route; NoPriority where absent
	RatePerSecond float64     // requests a second over the whole fleet, finite; 0: no limit, whatever Burst is
	Burst         float64     // requests beyond RatePerSecond that are allowed at once, 0 or more and finite
	HomeRegions   []string    // by name, besides those of the route; empty: all regions
}

// TenantOfKey returns the tenant that holds an API key; nil where there is none. It takes one look-up by the key's digest, so that
// its time does not depend on which keys there are.
func (c *Config) TenantOfKey(key string) *Tenant {
	if c == nil {
		return nil
	}
	return c.tenantOfKey[DigestKey(key)]
}

// tenant decodes one item of tenants. Its errors name no key.
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

// readKeys returns the digests of api_keys. An empty key is refused, since a request without a key would match it.
func (it *objectReader) readKeys() []KeyDigest {
	var keys []KeyDigest
	for _, element := range it.listField("api_keys") {
		key, err := element.StringBytes()
		if err != nil || len(key) == 0 {
			it.fail("api_keys holds something that is no key: send texts that are not empty, in quotes")
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

// indexTenants builds the index of TenantOfKey, and checks that names are unique. A key that two tenants share is an error or, where it is
// allowed, nobody's.
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

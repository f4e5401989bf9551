package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// describeTenants writes the tenants as text, in their order.
func (c *Config) describeTenants(b *strings.Builder) {
	if c.HasTenants {
		fmt.Fprintf(b, "tenants %d\n", len(c.Tenants))
	}
	for _, tenant := range c.Tenants {
		fmt.Fprintf(b, "tenant %s priority=%d rate=%g/s burst=%g keys=%d", tenant.Name, tenant.Priority, tenant.RatePerSecond, tenant.Burst,
			len(tenant.Keys))
		if len(tenant.HomeRegions) > 0 {
			fmt.Fprintf(b, " homes=%s", strings.Join(tenant.HomeRegions, ","))
		}
		b.WriteByte('\n')
	}
}

func tenantAmendment() []byte {
	return []byte(`{"revision":9,"upsert":{"tenants":[{"name":"tenant-3","api_keys":["new"]}]},"remove":{"tenants":["tenant-5"]}}`)
}

// TestAmendSharesUnchangedTenants: tenants that an amendment does not name are neither decoded nor copied again, and the index of keys
// is rebuilt only if the amendment changes a tenant.
func TestAmendSharesUnchangedTenants(t *testing.T) {
	base := largeConfig(t, 100)
	next, err := Amend(base, tenantAmendment())
	if err != nil {
		t.Fatal(err)
	}
	if next.Tenants[0] != base.Tenants[0] || next.Tenants[4] != base.Tenants[4] || next.Tenants[5] != base.Tenants[6] {
		t.Error("unchanged tenants are not shared")
	}
	if len(next.Tenants) != 99 || next.TenantOfKey("new") != next.Tenants[3] || next.TenantOfKey("key-3-a") != nil || next.TenantOfKey("key-5-a") != nil {
		t.Error("the named tenants were not changed")
	}
	next, err = Amend(base, largeAmendment())
	if err != nil {
		t.Fatal(err)
	}
	if reflect.ValueOf(next.tenantOfKey).Pointer() != reflect.ValueOf(base.tenantOfKey).Pointer() {
		t.Error("an amendment that names no tenant rebuilt the index of keys")
	}
}

// TestSharedKeyIsInvalid: neither a replacement nor an amendment may give the same key to two tenants.
func TestSharedKeyIsInvalid(t *testing.T) {
	const rest = `"revision":%d,"routes":[],"services":[]`
	body := func(revision int, tenants string) []byte {
		return fmt.Appendf(nil, `{`+rest+`,"tenants":[%s]}`, revision, tenants)
	}
	const first, second = `{"name":"a","api_keys":["k","l"]}`, `{"name":"b","api_keys":["m","k"]}`
	if _, err := Parse(body(1, first+","+second)); !errors.Is(err, ErrInvalid) {
		t.Errorf("replacement: %v", err)
	}
	for _, base := range []string{first, first + `,{"name":"b","api_keys":["m"]}`} {
		current, err := Parse(body(1, base))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Amend(current, []byte(`{"revision":2,"upsert":{"tenants":[`+second+`]}}`)); !errors.Is(err, ErrInvalid) {
			t.Errorf("amendment of %s: %v", base, err)
		}
	}
}

// TestAcceptedSharedKeyIsNobodys: a configuration with a shared key that an earlier version accepted can still be read, the key
// authenticates no tenant, and amendments are accepted unless they change tenants and leave the key with two of them.
func TestAcceptedSharedKeyIsNobodys(t *testing.T) {
	accepted, err := ParseAccepted([]byte(`{"revision":1,"routes":[],"services":[],"tenants":[` +
		`{"name":"a","api_keys":["k","l"]},{"name":"b","api_keys":["k"]},{"name":"c","api_keys":["k","m"]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if accepted.TenantOfKey("k") != nil || accepted.TenantOfKey("l") != accepted.Tenants[0] || accepted.TenantOfKey("m") != accepted.Tenants[2] {
		t.Error("the keys belong to the wrong tenants")
	}
	if _, err := Amend(accepted, []byte(`{"revision":2,"upsert":{"services":[{"name":"s"}]}}`)); err != nil {
		t.Error(err)
	}
	const stillShared = `{"revision":2,"remove":{"tenants":["c"]}}`
	if _, err := Amend(accepted, []byte(stillShared)); !errors.Is(err, ErrInvalid) {
		t.Errorf("amendment that leaves the key shared: %v", err)
	}
	if next, err := AmendAccepted(accepted, []byte(stillShared)); err != nil || next.TenantOfKey("k") != nil {
		t.Errorf("accepted amendment that leaves the key shared: %v", err)
	}
	next, err := Amend(accepted, []byte(`{"revision":2,"remove":{"tenants":["b","c"]}}`))
	if err != nil || next.TenantOfKey("k") != next.Tenants[0] {
		t.Errorf("amendment that gives the key to one tenant: %v", err)
	}
}

// TestKeysAreKeptAsDigests: a configuration contains no plain-text key except in Raw.
func TestKeysAreKeptAsDigests(t *testing.T) {
	const key = "92cqf75rjvz48wuakn2f"
	c, err := Parse([]byte(`{"revision":1,"routes":[],"services":[],"tenants":[{"name":"a","api_keys":["` + key + `"]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := c.Tenants[0].Keys; len(got) != 1 || got[0] != DigestKey(key) {
		t.Errorf("%x", got)
	}
	withoutRaw := *c
	withoutRaw.Raw = nil
	if text := fmt.Sprintf("%+v %+v", withoutRaw, *c.Tenants[0]); strings.Contains(text, key) {
		t.Errorf("the plain-text key is in %s", text)
	}
}

// TestTenantOfEmptyKey: a request without a key belongs to no tenant.
func TestTenantOfEmptyKey(t *testing.T) {
	if largeConfig(t, 3).TenantOfKey("") != nil || (*Config)(nil).TenantOfKey("k") != nil {
		t.Error("a tenant was found for an empty key or a nil configuration")
	}
}

func (c *Config) requireValidTenants(t *testing.T) {
	t.Helper()
	if len(c.Tenants) > 0 && !c.HasTenants {
		t.Fatalf("%d tenants in a configuration that includes none", len(c.Tenants))
	}
	names, holders := map[string]bool{}, map[KeyDigest]*Tenant{}
	for _, tenant := range c.Tenants {
		if tenant.Name == "" || names[tenant.Name] || tenant.Priority < NoPriority || !(tenant.RatePerSecond >= 0) || !(tenant.Burst >= 0) {
			t.Fatalf("%+v", tenant)
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if holder := holders[key]; holder != nil && holder != tenant || c.tenantOfKey[key] != tenant {
				t.Fatalf("key %x belongs to %v, but the look-up returns %v", key, holder, c.tenantOfKey[key])
			}
			holders[key] = tenant
		}
	}
	if len(holders) != len(c.tenantOfKey) {
		t.Fatalf("the index has %d keys, the tenants have %d", len(c.tenantOfKey), len(holders))
	}
}

// TestNoErrorNamesKeys: no error of Parse or Amend contains an API key, wherever it is in the rejected body.
func TestNoErrorNamesKeys(t *testing.T) {
	const key = "92cqf75rjvz48wuakn2f"
	base, err := Parse([]byte(`{"revision":1,"routes":[],"services":[],"tenants":[{"name":"a","api_keys":["` + key + `"]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, tenants := range []string{
		`[{"name":"a","api_keys":["%s"]},{"name":"b","api_keys":["%s"]}]`, `[{"name":"b","api_keys":["%s",1]}]`, `[{"name":"b","api_keys":"%s"}]`,
		`[{"name":"b","api_keys":{"%s":1,"%s":2}}]`, `[{"name":"b","api_keys":["x" "%s"]}]`, `[{"name":"b","api_keys":["%s`, `["%s"]`, `"%s"`,
		`{"api_keys":["%s"]}`, `[{"api_keys":["%s"]}]`, `[["%s"]]`, `[{"api_keys":["%s"],"name":["%s"]}]`, `[{"name":"b","api_keys":["\q%s"]}]`,
		`[{"name":"b","priority":"%s"}]`, `[{"name":"b","rate_per_s":"%s"}]`, `[{"name":"b","home_regions":{"%s":[]}}]`,
	} {
		tenants = strings.ReplaceAll(tenants, "%s", key)
		_, parseErr := Parse([]byte(`{"revision":2,"routes":[],"services":[],"tenants":` + tenants + `}`))
		_, upsertErr := Amend(base, []byte(`{"revision":2,"upsert":{"tenants":`+tenants+`}}`))
		_, removeErr := Amend(base, []byte(`{"revision":2,"remove":{"tenants":`+tenants+`}}`))
		for _, err := range []error{parseErr, upsertErr, removeErr} {
			if err != nil && strings.Contains(err.Error(), key[:5]) {
				t.Errorf("%s: %v", tenants, err)
			}
		}
		if parseErr == nil || !errors.Is(parseErr, ErrInvalid) {
			t.Errorf("%s: accepted", tenants)
		}
	}
}

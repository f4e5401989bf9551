package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type jsonObject = map[string]any

// drawRoute draws a route, which may conflict with others or name a service that does not exist.
func drawRoute(t *rapid.T) jsonObject {
	r := jsonObject{
		"name": rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), "hostname": "h",
		"path_prefix": rapid.SampledFrom([]string{"/", "/x/", "/y/", "/x/y/", "/z/"}).Draw(t, "prefix"),
		"timeout_ms":  rapid.IntRange(0, 30).Draw(t, "timeout"), "unknown": rapid.SampledFrom([]string{"", "}", `"`, "\\"}).Draw(t, "unknown"),
	}
	if rapid.Bool().Draw(t, "single") {
		r["target"] = rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "target")
	} else {
		r["shares"] = []any{jsonObject{"target": "s", "share": rapid.IntRange(0, 2).Draw(t, "share")}, jsonObject{"target": "t", "share": 1}}
	}
	return r
}

func drawService(t *rapid.T) jsonObject {
	return jsonObject{"name": rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "service"), "max_conns": rapid.IntRange(0, 9).Draw(t, "conns")}
}

// drawTenant draws a tenant, which may share a key with others.
func drawTenant(t *rapid.T) jsonObject {
	keys := rapid.SliceOfN(rapid.SampledFrom([]string{"k", "l", "m", "n"}), 0, 2)
	return jsonObject{"name": rapid.SampledFrom([]string{"a", "b", "v"}).Draw(t, "tenant"), "api_keys": keys.Draw(t, "keys"),
		"rate_per_s": rapid.IntRange(0, 9).Draw(t, "rate")}
}

func uniqueByName(all []jsonObject) []jsonObject {
	var unique []jsonObject
	for _, o := range all {
		if !slices.ContainsFunc(unique, func(k jsonObject) bool { return k["name"] == o["name"] }) {
			unique = append(unique, o)
		}
	}
	return unique
}

// mergedModel is the reference implementation of an amendment to one list.
func mergedModel(base, upsert []jsonObject, remove []string) []any {
	var out []any
	for _, o := range base {
		i := slices.IndexFunc(upsert, func(u jsonObject) bool { return u["name"] == o["name"] })
		switch {
		case i >= 0:
			out = append(out, upsert[i])
		case !slices.Contains(remove, o["name"].(string)):
			out = append(out, o)
		}
	}
	for _, u := range upsert {
		if !slices.ContainsFunc(base, func(o jsonObject) bool { return o["name"] == u["name"] }) {
			out = append(out, u)
		}
	}
	return out
}

func mustMarshal(t *rapid.T, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestAmendModel compares Amend with Parse of a configuration merged by a reference model.
func TestAmendModel(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		model := drawModel(t)
		base, err := Parse(mustMarshal(t, model.body()))
		if err != nil {
			return
		}
		amendment := drawAmendment(t)
		got, err := Amend(base, mustMarshal(t, amendment.body()))
		want, wantErr := Parse(mustMarshal(t, model.amended(amendment)))
		if amendment.revision == model.revision {
			wantErr = fmt.Errorf("the current revision")
		}
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%v, want %v", err, wantErr)
		}
		if err != nil {
			return
		}
		accepted++
		requireSameConfig(t, got, want)
		requireSameHolders(t, got, mergedModel(model.tenants, amendment.tenants, amendment.removedTenants))
	})
	t.Logf("%d amendments were accepted", accepted)
	if accepted == 0 {
		t.Error("no amendment was accepted")
	}
}

// configModel is a configuration in the reference model.
type configModel struct {
	revision                  int
	routes, services, tenants []jsonObject
	hasTenants                bool // if false, tenants is empty
}

func drawModel(t *rapid.T) configModel {
	model := configModel{
		revision:   3,
		routes:     uniqueByName(rapid.SliceOfN(rapid.Custom(drawRoute), 0, 4).Draw(t, "routes")),
		services:   uniqueByName(rapid.SliceOfN(rapid.Custom(drawService), 0, 3).Draw(t, "services")),
		hasTenants: rapid.Bool().Draw(t, "has tenants"),
	}
	if model.hasTenants {
		model.tenants = uniqueByName(rapid.SliceOfN(rapid.Custom(drawTenant), 0, 3).Draw(t, "tenants"))
	}
	return model
}

func (m configModel) body() jsonObject {
	return m.amended(amendmentModel{revision: m.revision})
}

// amended returns the body after an amendment. Upserting tenants adds the list if there was none; removing tenants does not.
func (m configModel) amended(a amendmentModel) jsonObject {
	body := jsonObject{"revision": a.revision, "other": []any{1, "x"},
		"routes":   append([]any{}, mergedModel(m.routes, a.routes, a.removedRoutes)...),
		"services": append([]any{}, mergedModel(m.services, a.services, a.removedServices)...),
	}
	if m.hasTenants || len(a.tenants) > 0 {
		body["tenants"] = append([]any{}, mergedModel(m.tenants, a.tenants, a.removedTenants)...)
	}
	return body
}

// amendmentModel is an amendment in the reference model.
type amendmentModel struct {
	revision                                       int
	routes, services, tenants                      []jsonObject
	removedRoutes, removedServices, removedTenants []string
}

func drawAmendment(t *rapid.T) amendmentModel {
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "s", "u"}), 0, 2)
	return amendmentModel{
		routes:          uniqueByName(rapid.SliceOfN(rapid.Custom(drawRoute), 0, 3).Draw(t, "upsert routes")),
		services:        uniqueByName(rapid.SliceOfN(rapid.Custom(drawService), 0, 2).Draw(t, "upsert services")),
		removedRoutes:   names.Draw(t, "remove routes"),
		removedServices: names.Draw(t, "remove services"),
		tenants:         uniqueByName(rapid.SliceOfN(rapid.Custom(drawTenant), 0, 2).Draw(t, "upsert tenants")),
		removedTenants:  names.Draw(t, "remove tenants"),
		revision:        3 + rapid.IntRange(0, 2).Draw(t, "step"),
	}
}

// body returns the amendment's JSON object, without empty lists.
func (a amendmentModel) body() jsonObject {
	upsert, remove := jsonObject{}, jsonObject{}
	if len(a.routes) > 0 {
		upsert["routes"] = a.routes
	}
	if len(a.services) > 0 {
		upsert["services"] = a.services
	}
	if len(a.tenants) > 0 {
		upsert["tenants"] = a.tenants
	}
	if len(a.removedTenants) > 0 {
		remove["tenants"] = a.removedTenants
	}
	if len(a.removedRoutes) > 0 {
		remove["routes"] = a.removedRoutes
	}
	if len(a.removedServices) > 0 {
		remove["services"] = a.removedServices
	}
	return jsonObject{"revision": a.revision, "upsert": upsert, "remove": remove}
}

// requireSameConfig checks that two configurations are equal, including their JSON, and that parsing the first one's JSON again yields an
// equal configuration.
func requireSameConfig(t *rapid.T, got, want *Config) {
	t.Helper()
	if got.describe() != want.describe() {
		t.Fatalf("%s\nwant\n%s", got.describe(), want.describe())
	}
	var gotJSON, wantJSON any
	if json.Unmarshal(got.Raw, &gotJSON) != nil || json.Unmarshal(want.Raw, &wantJSON) != nil || !reflect.DeepEqual(gotJSON, wantJSON) {
		t.Fatalf("%s\nwant\n%s", got.Raw, want.Raw)
	}
	if again, err := Parse(got.Raw); err != nil || !reflect.DeepEqual(again, got) {
		t.Fatalf("parsed again it differs: %v", err)
	}
}

// requireSameHolders checks that each key belongs to the tenant that has it in the model.
func requireSameHolders(t *rapid.T, got *Config, tenants []any) {
	t.Helper()
	for _, key := range []string{"k", "l", "m", "n"} {
		want := slices.IndexFunc(tenants, func(tenant any) bool {
			return slices.Contains(tenant.(jsonObject)["api_keys"].([]string), key)
		})
		holder := got.TenantOfKey(key)
		if (holder == nil) != (want < 0) || holder != nil && holder.Name != tenants[want].(jsonObject)["name"] {
			t.Fatalf("key %s belongs to tenant %+v, want index %d in %v", key, holder, want, tenants)
		}
	}
}

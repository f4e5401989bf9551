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

// drawRoute draws a route, which may clash with others or name a service that is not there.
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

func uniqueByName(all []jsonObject) []jsonObject {
	var kept []jsonObject
	for _, o := range all {
		if !slices.ContainsFunc(kept, func(k jsonObject) bool { return k["name"] == o["name"] }) {
			kept = append(kept, o)
		}
	}
	return kept
}

// mergedModel is the plain model of an amendment to one list.
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

// TestAmendModel compares Amend to Parse of what a plain model merges.
func TestAmendModel(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		routes := uniqueByName(rapid.SliceOfN(rapid.Custom(drawRoute), 0, 4).Draw(t, "routes"))
		services := uniqueByName(rapid.SliceOfN(rapid.Custom(drawService), 0, 3).Draw(t, "services"))
		whole := jsonObject{"revision": 3, "routes": routes, "services": services, "other": []any{1, "x"}}
		if routes == nil {
			whole["routes"] = []any{}
		}
		if services == nil {
			whole["services"] = []any{}
		}
		base, err := Parse(mustMarshal(t, whole))
		if err != nil {
			return
		}
		upRoutes := uniqueByName(rapid.SliceOfN(rapid.Custom(drawRoute), 0, 3).Draw(t, "upsert routes"))
		upServices := uniqueByName(rapid.SliceOfN(rapid.Custom(drawService), 0, 2).Draw(t, "upsert services"))
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "s", "u"}), 0, 2)
		goneRoutes, goneServices := names.Draw(t, "remove routes"), names.Draw(t, "remove services")
		change := jsonObject{"revision": 3 + rapid.IntRange(0, 2).Draw(t, "step"), "upsert": jsonObject{}, "remove": jsonObject{}}
		set := func(group, list string, v any, n int) {
			if n > 0 {
				change[group].(jsonObject)[list] = v
			}
		}
		set("upsert", "routes", upRoutes, len(upRoutes))
		set("upsert", "services", upServices, len(upServices))
		set("remove", "routes", goneRoutes, len(goneRoutes))
		set("remove", "services", goneServices, len(goneServices))

		got, err := Amend(base, mustMarshal(t, change))

		whole["revision"] = change["revision"]
		whole["routes"] = append([]any{}, mergedModel(routes, upRoutes, goneRoutes)...)
		whole["services"] = append([]any{}, mergedModel(services, upServices, goneServices)...)
		want, wantErr := Parse(mustMarshal(t, whole))
		if change["revision"] == 3 {
			wantErr = fmt.Errorf("the current revision")
		}
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%v, want %v", err, wantErr)
		}
		if err != nil {
			return
		}
		taken++
		if got.describe() != want.describe() {
			t.Fatalf("%s\nwant\n%s", got.describe(), want.describe())
		}
		var a, b any
		if json.Unmarshal(got.Raw, &a) != nil || json.Unmarshal(want.Raw, &b) != nil || !reflect.DeepEqual(a, b) {
			t.Fatalf("%s\nwant\n%s", got.Raw, want.Raw)
		}
		if again, err := Parse(got.Raw); err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("read again it differs: %v", err)
		}
	})
	t.Logf("%d amendments were taken", taken)
	if taken == 0 {
		t.Error("no amendment was taken")
	}
}

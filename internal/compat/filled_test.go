package compat

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
	"gradeusher.example/gradeusher/internal/sidecar/state"
	"gradeusher.example/gradeusher/internal/system/admin"
)

// fillValue gives all fields of a value, at any depth, values that are not zero and do not depend on names in the code.
func fillValue(value reflect.Value, depth int) {
	if depth == 0 {
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fillValue(value.Elem(), depth)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Field(i).CanSet() {
				fillValue(value.Field(i), depth-1)
			}
		}
	case reflect.Slice:
		if value.Type().Elem().Kind() != reflect.Uint8 {
			value.Set(reflect.MakeSlice(value.Type(), 1, 1))
			fillValue(value.Index(0), depth-1)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fillValue(key, depth-1)
		fillValue(element, depth-1)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString("text")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(-7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(7)
	case reflect.Float64:
		value.SetFloat(0.5)
	}
}

// document compares the JSON of a filled value, and of one without values, with files.
func document[T any](t *testing.T, name string) {
	t.Helper()
	var empty, filled T
	fillValue(reflect.ValueOf(&filled).Elem(), 12)
	for suffix, v := range map[string]T{"_empty.json": empty, "_filled.json": filled} {
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		goldenJSON(t, name+suffix, text)
	}
	readsAgain[T](t, name, filled)
}

// readsAgain decodes the JSON of a value and encodes it again, which loses nothing.
func readsAgain[T any](t *testing.T, name string, v T) {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var read T
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(read)
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("%s: %s after it was read, %s before: %v", name, again, text, err)
	}
}

// TestRouteOps reads each kind of step between route tables.
func TestRouteOps(t *testing.T) {
	text, err := os.ReadFile("testdata/route_ops.json")
	if err != nil {
		t.Fatal(err)
	}
	var ops []routes.Op
	if err := json.Unmarshal(text, &ops); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(ops)
	if err != nil {
		t.Fatal(err)
	}
	goldenJSON(t, "route_ops.json", again)
}

// TestDocuments are those of `system status --json`, `system why --json`, GET /status, and the entries and commands of the
// sidecars' list.
func TestDocuments(t *testing.T) {
	document[admin.Fleet](t, "system_status")
	document[admin.ProxyStatus](t, "why")
	document[admin.NodeStatus](t, "keeper_status")
	document[routes.Table](t, "route_table")
	document[registry.Status](t, "sidecar_status")
	document[client.RoutesUpdate](t, "sidecar_routes")
	document[client.RolesUpdate](t, "sidecar_duties")
	document[list.List](t, "sidecar_list")
	document[state.Entry](t, "sidecar_entry")
	document[state.Role](t, "sidecar_duty")
	document[state.Command](t, "sidecar_command")
}

// TestWhyLines: the line of a server begins with its id.
func TestWhyLines(t *testing.T) {
	var p admin.ProxyStatus
	if err := json.Unmarshal([]byte(`{"choice":"s-1 a\ns-10 b\n"}`), &p); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(p.Lines("s-1"), "|"); got != "s-1 a" {
		t.Error(got)
	}
}

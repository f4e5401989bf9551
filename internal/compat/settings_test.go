package compat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"gradeusher.example/gradeusher/internal/sidecar"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
	"gradeusher.example/gradeusher/internal/system/settings"
)

// asTOML is a value under the keys of its file.
func asTOML(t *testing.T, v any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(v); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestSystemSettings reads a settings file with all keys: what comes out, under the same keys, is what the file says.
func TestSystemSettings(t *testing.T) {
	t.Setenv("GRADEUSHER_BOOT", "testdata/settings.toml")
	for _, role := range []settings.Role{settings.Proxy, settings.ControlPlane} {
		s, err := settings.FromEnvironment(role)
		if err != nil {
			t.Fatal(err)
		}
		golden(t, "settings_read.toml", asTOML(t, s))
		if s.ControlPlanePort() != 7720 || s.ProxyPort() != 7721 || !s.HasDisk() {
			t.Errorf("ports %d and %d, disk %t", s.ControlPlanePort(), s.ProxyPort(), s.HasDisk())
		}
	}
}

func TestRegistrySettings(t *testing.T) {
	for _, name := range []string{"k1", "k1_least"} {
		c, err := registry.LoadConfig("testdata/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		golden(t, name+"_read.toml", asTOML(t, c))
	}
}

// TestDeployFiles: the deployments' descriptions have the keys and values that the platforms know.
func TestDeployFiles(t *testing.T) {
	for _, name := range []string{"system", "balancer"} {
		text, err := os.ReadFile("../../deploy/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		var v map[string]any
		if err := toml.Unmarshal(text, &v); err != nil {
			t.Fatal(err)
		}
		if name == "balancer" { // names of source files, which may move
			delete(v, "policy")
			delete(v, "node")
		}
		out, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		goldenJSON(t, "deploy_"+name+".json", out)
	}
}

func environment(key string) string {
	return map[string]string{"PROXY_CONFIG": "testdata/sidecar.json", "PROXY_NAME": "n7", "TMPDIR": "/common", "PROXY_FD": "5"}[key]
}

// leaves are the values in v that are not zero, in the order of their text, whatever the names and places of the fields are. Words
// of the file that become numbers in the code are compared as numbers.
func leaves(value reflect.Value, out []string) []string {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			out = leaves(value.Elem(), out)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			out = leaves(value.Field(i), out)
		}
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			out = leaves(value.Index(i), out)
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			out = append(out, fmt.Sprintf("%v: %v", key, value.MapIndex(key)))
		}
	default:
		if !value.IsZero() {
			out = append(out, fmt.Sprint(value))
		}
	}
	slices.Sort(out)
	return out
}

// TestSidecarSettings reads PROXY_CONFIG with all keys: the values that come out are the same, wherever they stand.
func TestSidecarSettings(t *testing.T) {
	c, err := sidecar.LoadConfig(environment)
	if err != nil {
		t.Fatal(err)
	}
	c.Known.Targets[0].Started = c.Known.Targets[0].Started.UTC()
	if got := c.Known.Targets[0].Started.UnixMilli(); got != 45 {
		t.Errorf("boot at %d", got)
	}
	c.Known.Targets[0].Started = time.Time{}
	golden(t, "sidecar_read.txt", []byte(strings.Join(leaves(reflect.ValueOf(c), nil), "\n")+"\n"))
	if c.Name != "n7" || c.Listen != "127.0.0.1:7101" || c.Discovery != "127.0.0.1:7102" || c.Control != "127.0.0.1:7103" || c.InheritedFD != 5 {
		t.Errorf("%+v", c)
	}
}

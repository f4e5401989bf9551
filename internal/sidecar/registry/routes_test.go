package registry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

func rule(name, service, tag, weight string) string {
	return fmt.Sprintf(`{"name":%q,"source":{"service":%q},"service":{"service":%q},"destinations":[{"match":{"version":"x"},"weight":%s}]}`, name, tag, service, weight)
}

func put(rules ...string) string { return `{"rules":[` + strings.Join(rules, ",") + `]}` }

func read(t *testing.T, at, path string) (n client.RoutesUpdate) {
	t.Helper()
	resp, err := http.Get("http://" + at + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != 200 || json.Unmarshal(text, &n) != nil {
		t.Fatalf("%s: %d %s %v", path, resp.StatusCode, text, err)
	}
	return n
}

// TestRoutesBad sends tables and calls that are wrong: each is answered with a reason, and makes no generation.
func TestRoutesBad(t *testing.T) {
	at := start(t, nil)
	if code, _, _ := call(t, "PUT", at, "/v1/routes", put(rule("a", "*", "*", "1"))); code != 200 {
		t.Fatal(code)
	}
	many := make([]string, routes.MostRules+1)
	for i := range many {
		many[i] = `{}`
	}
	good := rule("b", "*", "*", "1")
	for _, c := range []struct {
		method, path, text string
		code               int
		word, reason       string
	}{
		{"PUT", "", put(good, good), 400, "bad", "another rule has this name"},
		{"PUT", "", put(strings.Replace(good, `[{`, `[{"match":{"version":"x"},"weight":2},{`, 1)), 400, "bad", "matches the same"},
		{"PUT", "", put(rule("b", "*", "*", "-1")), 400, "bad", "weight -1"},
		{"PUT", "", put(rule("b", "*", "*", "NaN")), 400, "bad", "body"},
		{"PUT", "", put(rule("b", "*", "*", "null")), 400, "bad", "weight NaN"},
		{"PUT", "", put(strings.Replace(good, `,"weight":1`, "", 1)), 400, "bad", "weight NaN"},
		{"PUT", "", put(rule("b", "*", "*", "0")), 400, "bad", "no sum above 0"},
		{"PUT", "", put(strings.Replace(good, "weight", "wait", 1)), 400, "bad", "unknown field"},
		{"PUT", "", put(many...), 400, "bad", "20000 at most"},
		{"PUT", "", put(rule(strings.Repeat("x", 200), "*", "*", "1")), 400, "bad", "128 at most"},
		{"PUT", "", `{"rules":[]`, 400, "bad", "body"},
		{"PUT", "", `{}`, 400, "bad", "a list of rules"},
		{"PUT", "", `{"rules":null}`, 400, "bad", "a list of rules"},
		{"PUT", "", put(strings.Repeat(" ", maxTableBytes)), 413, "bad", "at most"},
		{"PUT", "", strings.Replace(put(good), "{", `{"expect":0,`, 1), 409, "conflict", "at generation 1, not 0"},
		{"PUT", "", strings.Replace(put(good), "{", `{"expect":9,`, 1), 409, "conflict", "at generation 1, not 9"},
		{"GET", "?from=x", "", 400, "bad", "no revision"},
		{"GET", "?tag=service", "", 400, "bad", "with a colon"},
		{"GET", "?tag=:x", "", 400, "bad", "with a colon"},
		{"GET", "?tag=a:x&tag=a:y", "", 400, "bad", "once"},
		{"GET", "?watch=1&tag=a:x&tag=a:y", "", 400, "bad", "once"},
		{"GET", "?" + strings.Repeat("tag=a:x&", 17), "", 400, "bad", "at most"},
		{"GET", "?service=" + strings.Repeat("x", 200), "", 400, "bad", "at most"},
	} {
		code, p, _ := call(t, c.method, at, "/v1/routes"+c.path, c.text)
		if code != c.code || p.Code != c.word || !strings.Contains(p.Reason, c.reason) {
			t.Errorf("%s %.40s %.90s: %d %s %q, want %d %q", c.method, c.path, c.text, code, p.Code, p.Reason, c.code, c.reason)
		}
	}
	if n := read(t, at, "/v1/routes"); n.Generation != 1 || !n.Complete || len(n.Rules) != 1 {
		t.Errorf("now at %+v", n)
	}
}

// TestRoutes puts tables and asks for them as the contract says, whole, from generations and cut.
func TestRoutes(t *testing.T) {
	at := start(t, nil)
	if n := read(t, at, "/v1/routes"); n.Generation != 0 || !n.Complete || n.Rules == nil {
		t.Errorf("before any table: %+v", n)
	}
	gens := func(text string) string {
		t.Helper()
		req, err := http.NewRequest("PUT", "http://"+at+"/v1/routes", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		said, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(string(said))
	}
	one, two := put(rule("a", "s", "p", "1"), rule("b", "s", "q", "1")), put(rule("a", "s", "p", "1"), rule("b", "s", "q", "3"))
	for i, text := range []string{one, one, two, two, strings.Replace(put(), "{", `{"expect":2,`, 1)} {
		if got, want := gens(text), fmt.Sprintf(`{"gen":%d}`, []int{1, 1, 2, 2, 3}[i]); got != want {
			t.Errorf("table %d makes %s, want %s", i, got, want)
		}
	}
	for path, want := range map[string]struct {
		all        bool
		ops, rules int
	}{
		"":                                {true, 0, 0},
		"?from=1":                         {false, 2, 0},
		"?from=2&tag=service:q":           {false, 1, 0},
		"?from=3":                         {false, 0, 0},
		"?from=1&service=other":           {false, 0, 0},
		"?from=1&tag=service:x&service=s": {false, 0, 0},
		"?from=77":                        {true, 0, 0},
		"?from=2&cluster=other":           {true, 0, 0},
	} {
		n := read(t, at, "/v1/routes"+path)
		if n.Generation != 3 || n.Complete != want.all || len(n.Ops) != want.ops || len(n.Rules) != want.rules || n.Hash != (routes.Table{}).Hash() {
			t.Errorf("%s: %+v, want %+v", path, n, want)
		}
	}
}

// TestRoutesWatch has two watchers with different cuts: each is told what changes its own, and only that.
func TestRoutesWatch(t *testing.T) {
	at := start(t, func(c *Config) { c.Limits.MaxWatchers = 2 })
	if code, _, _ := call(t, "PUT", at, "/v1/routes", put(rule("a", "s", "p", "1"), rule("b", "s", "q", "1"))); code != 200 {
		t.Fatal(code)
	}
	watch := func(query string) (next func() client.RoutesUpdate, first func() string) {
		resp, err := http.Get("http://" + at + "/v1/routes?watch=1" + query)
		if err != nil || resp.StatusCode != 200 {
			t.Fatal(err, resp.StatusCode)
		}
		t.Cleanup(func() { resp.Body.Close() })
		in := bufio.NewReader(resp.Body)
		line := func() string {
			text, err := in.ReadString('\n')
			if err != nil {
				t.Error(err)
			}
			return text
		}
		return func() (n client.RoutesUpdate) {
			text := "\n"
			for text == "\n" {
				text = line()
			}
			if err := json.Unmarshal([]byte(text), &n); err != nil {
				t.Error(err)
			}
			return n
		}, line
	}
	p, _ := watch("&tag=service:p&service=s")
	if n := p(); !n.Complete || n.Generation != 1 || len(n.Rules) != 1 {
		t.Errorf("the first line is %+v", n)
	}
	q, first := watch("&from=1&tag=service:q")
	if said := first(); said != "\n" {
		t.Errorf("who holds the newest is told %s", said)
	}
	if code, reason, _ := call(t, "GET", at, "/v1/routes?watch=1", ""); code != 503 {
		t.Errorf("a third watcher of two: %d %v", code, reason)
	}
	for _, weights := range [][2]string{{"1", "2"}, {"1", "3"}, {"2", "3"}, {"2", "4"}} {
		if code, _, _ := call(t, "PUT", at, "/v1/routes", put(rule("a", "s", "p", weights[0]), rule("b", "s", "q", weights[1]))); code != 200 {
			t.Fatal(code)
		}
		if weights[0] == "2" && weights[1] == "3" {
			continue // which is nothing to q
		}
		if n := q(); n.Complete || len(n.Ops) != 1 || fmt.Sprint(n.Ops[0].Weight) != weights[1] {
			t.Errorf("q is told %+v, want the weight %s", n, weights[1])
		}
	}
	if n := p(); n.Generation != 4 || n.From == nil || *n.From != 1 || len(n.Ops) != 1 || n.Ops[0].Name != "a" {
		t.Errorf("p is told %+v", n)
	}
	began := time.Now()
	if said := first(); said != "\n" || time.Since(began) > 2*time.Second {
		t.Errorf("a quiet watch says %q after %v", said, time.Since(began))
	}
	resp, err := http.Get("http://" + at + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	for _, want := range []string{"keeper_generation 5\n", "keeper_route_watchers 2\n", `keeper_route_lines_total{kind="diff"} 4`} {
		if err != nil || !bytes.Contains(text, []byte(want)) {
			t.Errorf("no %s in the metrics: %v", want, err)
		}
	}
}

package registry

import (
	"encoding/json"
	"fmt"
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

// routes returns the answer to a call for routes.
func (node testNode) routes(query string) client.RoutesUpdate {
	node.t.Helper()
	var update client.RoutesUpdate
	text := node.read(http.MethodGet, "/v1/routes"+query, "")
	if err := json.Unmarshal(text, &update); err != nil {
		node.t.Fatalf("%s: %s: %v", query, text, err)
	}
	return update
}

// TestRoutesBad sends invalid tables and calls: each is answered with a reason, and makes no generation.
func TestRoutesBad(t *testing.T) {
	node := startNode(t, nil)
	node.mustCall(http.MethodPut, "/v1/routes", put(rule("a", "*", "*", "1")))
	many := make([]string, routes.MaxRules+1)
	for i := range many {
		many[i] = `{}`
	}
	good := rule("b", "*", "*", "1")
	for _, test := range []struct {
		method, path, body string
		code               int
		codeText, reason   string
	}{
		{http.MethodPut, "", put(good, good), 400, "bad", "another rule has this name"},
		{http.MethodPut, "", put(strings.Replace(good, `[{`, `[{"match":{"version":"x"},"weight":2},{`, 1)), 400, "bad", "matches the same"},
		{http.MethodPut, "", put(rule("b", "*", "*", "-1")), 400, "bad", "weight -1"},
		{http.MethodPut, "", put(rule("b", "*", "*", "NaN")), 400, "bad", "body"},
		{http.MethodPut, "", put(rule("b", "*", "*", "null")), 400, "bad", "weight NaN"},
		{http.MethodPut, "", put(strings.Replace(good, `,"weight":1`, "", 1)), 400, "bad", "weight NaN"},
		{http.MethodPut, "", put(rule("b", "*", "*", "0")), 400, "bad", "no sum above 0"},
		{http.MethodPut, "", put(strings.Replace(good, "weight", "wait", 1)), 400, "bad", "unknown field"},
		{http.MethodPut, "", put(many...), 400, "bad", "20000 at most"},
		{http.MethodPut, "", put(rule(strings.Repeat("x", 200), "*", "*", "1")), 400, "bad", "128 at most"},
		{http.MethodPut, "", `{"rules":[]`, 400, "bad", "body"},
		{http.MethodPut, "", `{}`, 400, "bad", "a list of rules"},
		{http.MethodPut, "", `{"rules":null}`, 400, "bad", "a list of rules"},
		{http.MethodPut, "", put(strings.Repeat(" ", maxTableBytes)), 413, "bad", "at most"},
		{http.MethodPut, "", strings.Replace(put(good), "{", `{"expect":0,`, 1), 409, "conflict", "at generation 1, not 0"},
		{http.MethodPut, "", strings.Replace(put(good), "{", `{"expect":9,`, 1), 409, "conflict", "at generation 1, not 9"},
		{http.MethodGet, "?from=x", "", 400, "bad", "no revision"},
		{http.MethodGet, "?tag=service", "", 400, "bad", "with a colon"},
		{http.MethodGet, "?tag=:x", "", 400, "bad", "with a colon"},
		{http.MethodGet, "?tag=a:x&tag=a:y", "", 400, "bad", "once"},
		{http.MethodGet, "?watch=1&tag=a:x&tag=a:y", "", 400, "bad", "once"},
		{http.MethodGet, "?" + strings.Repeat("tag=a:x&", 17), "", 400, "bad", "at most"},
		{http.MethodGet, "?service=" + strings.Repeat("x", 200), "", 400, "bad", "at most"},
	} {
		t.Run(test.method+test.path+" "+test.reason, func(t *testing.T) {
			code, answer, _ := node.in(t).call(test.method, "/v1/routes"+test.path, test.body)
			if code != test.code || answer.Code != test.codeText || !strings.Contains(answer.Reason, test.reason) {
				t.Errorf("%.90s: %d %s %q, want %d %q", test.body, code, answer.Code, answer.Reason, test.code, test.reason)
			}
		})
	}
	if update := node.routes(""); update.Generation != 1 || !update.Complete || len(update.Rules) != 1 {
		t.Errorf("now at %+v", update)
	}
}

// TestRoutes sets tables and asks for them as the contract says: complete, from generations and filtered.
func TestRoutes(t *testing.T) {
	node := startNode(t, nil)
	if update := node.routes(""); update.Generation != 0 || !update.Complete || update.Rules == nil {
		t.Errorf("before any table: %+v", update)
	}
	first := put(rule("a", "s", "p", "1"), rule("b", "s", "q", "1"))
	second := put(rule("a", "s", "p", "1"), rule("b", "s", "q", "3"))
	for i, step := range []struct{ body, answer string }{
		{first, `{"gen":1}`}, {first, `{"gen":1}`}, {second, `{"gen":2}`}, {second, `{"gen":2}`},
		{strings.Replace(put(), "{", `{"expect":2,`, 1), `{"gen":3}`},
	} {
		if got := strings.TrimSpace(string(node.read(http.MethodPut, "/v1/routes", step.body))); got != step.answer {
			t.Errorf("table %d makes %s, want %s", i, got, step.answer)
		}
	}
	for query, want := range map[string]struct {
		complete   bool
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
		t.Run(query, func(t *testing.T) {
			update := node.in(t).routes(query)
			if update.Generation != 3 || update.Hash != (routes.Table{}).Hash() {
				t.Errorf("%+v, want the empty table at generation 3", update)
			}
			if update.Complete != want.complete || len(update.Ops) != want.ops || len(update.Rules) != want.rules {
				t.Errorf("%+v, want %+v", update, want)
			}
		})
	}
}

// TestRoutesWatch has two watches with different filters: each gets what changes its own view, and only that.
func TestRoutesWatch(t *testing.T) {
	node := startNode(t, func(c *Config) { c.Limits.MaxWatchers = 2 })
	setWeights := func(p, q string) {
		t.Helper()
		node.mustCall(http.MethodPut, "/v1/routes", put(rule("a", "s", "p", p), rule("b", "s", "q", q)))
	}
	setWeights("1", "1")
	watchP := node.watch("/v1/routes?watch=1&tag=service:p&service=s")
	if update := decodeUpdate[client.RoutesUpdate](watchP); !update.Complete || update.Generation != 1 || len(update.Rules) != 1 {
		t.Errorf("the first line is %+v", update)
	}
	watchQ := node.watch("/v1/routes?watch=1&from=1&tag=service:q")
	if line := watchQ.line(); len(line) != 0 {
		t.Errorf("a client of the current generation gets %s", line)
	}
	if code, answer, _ := node.call(http.MethodGet, "/v1/routes?watch=1", ""); code != http.StatusServiceUnavailable {
		t.Errorf("a third watch of two: %d %v", code, answer)
	}
	for _, step := range []struct {
		p, q     string
		changesQ bool
	}{{"1", "2", true}, {"1", "3", true}, {"2", "3", false}, {"2", "4", true}} {
		setWeights(step.p, step.q)
		if !step.changesQ {
			continue
		}
		if update := decodeUpdate[client.RoutesUpdate](watchQ); update.Complete || len(update.Ops) != 1 || fmt.Sprint(update.Ops[0].Weight) != step.q {
			t.Errorf("q gets %+v, want the weight %s", update, step.q)
		}
	}
	update := decodeUpdate[client.RoutesUpdate](watchP)
	if update.Generation != 4 || update.From == nil || *update.From != 1 || len(update.Ops) != 1 || update.Ops[0].Name != "a" {
		t.Errorf("p gets %+v", update)
	}
	start := time.Now()
	if line := watchQ.line(); len(line) != 0 || time.Since(start) > 2*time.Second {
		t.Errorf("a quiet watch writes %q after %v", line, time.Since(start))
	}
	metrics := node.metrics()
	for _, want := range []string{"keeper_generation 5\n", "keeper_route_watchers 2\n", `keeper_route_lines_total{kind="diff"} 4`} {
		if !strings.Contains(metrics, want) {
			t.Errorf("no %s in the metrics", want)
		}
	}
}

package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
	"gradeusher.example/gradeusher/internal/testsupport/memorynet"
)

// nodeHandler serves the status of a node.
func nodeHandler(s NodeStatus) http.Handler {
	return allowOnlyReads(func(w http.ResponseWriter, _ *http.Request) {
		data, _ := json.Marshal(s)
		writeBody(w, "application/json", data)
	})
}

// fleetOf returns the statuses of three nodes: the third lags and is outside the chain; proxy b has moved from the first to the second;
// proxy d subscribes to none.
func fleetOf() map[string]NodeStatus {
	voters := []Voter{{"10.0.0.1", "za", "r"}, {"10.0.0.2", "zb", "r"}, {"10.0.0.3", "zc", "r"}}
	chain := []string{"10.0.0.2", "10.0.0.1"}
	return map[string]NodeStatus{
		"10.0.0.1": {Version: 1, Node: "one", Current: true, Epoch: 4, Chain: chain, Voters: voters, Number: 9, Revision: 7,
			Evacuated: []string{"y", "x"}, ListOwner: "10.0.0.2", Members: []string{"a", "b", "c", "d"},
			Proxies: []ProxyProgress{{"a", 9, 0}, {"b", 7, 900}}},
		"10.0.0.2": {Version: 1, Node: "two", Current: true, Epoch: 4, Chain: chain, Voters: voters, Number: 9, Revision: 7,
			Evacuated: []string{"x", "y"}, ListOwner: "10.0.0.2", Proxies: []ProxyProgress{{"b", 9, 0}, {"c", 8, 10}}},
		"10.0.0.3": {Node: "three", Epoch: 3, Chain: []string{"10.0.0.3"}, Number: 8, Revision: 6, ListOwner: "10.0.0.3",
			Members: []string{"long gone"}},
	}
}

func networkOf(all map[string]NodeStatus) *memorynet.Network {
	n := &memorynet.Network{}
	for host, s := range all {
		n.Set(host, nodeHandler(s))
	}
	return n
}

func TestFleetAsksAllVoters(t *testing.T) {
	c := Client{Transport: networkOf(fleetOf())}
	fleet, err := c.Fleet(context.Background(), []string{"10.0.0.1:8166"})
	if err != nil {
		t.Fatal(err)
	}
	if fleet.Epoch != 4 || !slices.Equal(fleet.Chain, []string{"10.0.0.2", "10.0.0.1"}) || fleet.Number != 9 || fleet.Revision != 7 ||
		!slices.Equal(fleet.Evacuated, []string{"x", "y"}) || !fleet.Current() {
		t.Errorf("%+v", fleet)
	}
	var nodes []string
	for _, a := range fleet.Nodes {
		nodes = append(nodes, a.Address+" "+a.Status.Node)
	}
	if got := strings.Join(nodes, ", "); got != "10.0.0.1:8166 one, 10.0.0.2:8166 two, 10.0.0.3:8166 three" {
		t.Error(got)
	}
	want := []Subscriber{{ProxyProgress{"a", 9, 0}, "one"}, {ProxyProgress{"b", 9, 0}, "two"}, {ProxyProgress{"c", 8, 10}, "two"}}
	if !slices.Equal(fleet.Proxies, want) || !slices.Equal(fleet.Unseen, []string{"d"}) || !slices.Equal(fleet.Roles, []SingletonRole{{"list", "10.0.0.2"}}) {
		t.Errorf("%+v %v %v", fleet.Proxies, fleet.Unseen, fleet.Roles)
	}
}

// TestFleetCapacity checks that the capacity is that of one current node of the newest epoch, preferably one with a disk.
func TestFleetCapacity(t *testing.T) {
	answerWith := func(epoch uint64, current, observer bool, voters int) NodeAnswer {
		return NodeAnswer{Status: &NodeStatus{Epoch: epoch, Current: current, Observer: observer, Capacity: &Capacity{Voters: voters}}}
	}
	old := NodeAnswer{Status: &NodeStatus{Epoch: 4, Current: true}}
	for _, test := range []struct {
		answers []NodeAnswer
		voters  int // 0: no capacity
	}{
		{[]NodeAnswer{{}, old}, 0},
		{[]NodeAnswer{answerWith(4, false, false, 1)}, 0},
		{[]NodeAnswer{answerWith(3, true, false, 1), answerWith(4, true, true, 2)}, 2},
		{[]NodeAnswer{answerWith(4, true, true, 1), old, answerWith(4, true, false, 2)}, 2},
	} {
		have := 0
		if f := mergeAnswers(test.answers); f.Capacity != nil {
			have = f.Capacity.Voters
		}
		if have != test.voters {
			t.Errorf("%d voters, want %d", have, test.voters)
		}
	}
}

func TestFleetNamesUnreachableNodes(t *testing.T) {
	all := fleetOf()
	delete(all, "10.0.0.2")
	c := Client{Transport: networkOf(all)}
	f, err := c.Fleet(context.Background(), []string{"10.0.0.3:1", "10.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	if a := f.Nodes[1]; a.Status != nil || !strings.Contains(a.Error, "10.0.0.2:1 does not answer") {
		t.Errorf("%+v", a)
	}
	if f, err := c.Fleet(context.Background(), []string{"10.0.0.2:1"}); !errors.Is(err, ErrUnreachable) || f.Current() {
		t.Errorf("%+v %v", f, err)
	}
}

func TestMalformedStatus(t *testing.T) {
	n := memorynet.New(map[string]http.Handler{
		"text":  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }),
		"503":   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "later", http.StatusServiceUnavailable) }),
		"newer": nodeHandler(NodeStatus{Version: Version + 1}),
		"long": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, maxStatusBytes+1))
		}),
	})
	c := Client{Transport: n}
	for address, want := range map[string]string{"text:1": "no status", "503:1": "later", "newer:1": "newer gradeusher", "long:1": "longer than",
		"none:1": "does not answer", "10.0.0.1": "give IP:PORT"} {
		if _, err := c.NodeStatus(context.Background(), address); !errors.Is(err, ErrUnreachable) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", address, err)
		}
	}
}

func TestParseChange(t *testing.T) {
	for text, want := range map[string]Change{"12": {Number: 12}, "number:12": {Number: 12}, "revision:7": {Revision: 7}} {
		if c, err := ParseChange(text); err != nil || c != want {
			t.Errorf("%s: %+v %v", text, c, err)
		}
	}
	for _, text := range []string{"", "0", "revision:", "revision:-1", "epoch:3", "number:0", "99999999999999999999"} {
		if c, err := ParseChange(text); err == nil {
			t.Errorf("%s: %+v", text, c)
		}
	}
}

func TestMissing(t *testing.T) {
	complete := fleetOf()
	three := complete["10.0.0.3"]
	three.Number, three.Revision = 9, 7
	complete["10.0.0.3"] = three
	two := complete["10.0.0.2"]
	two.Proxies = []ProxyProgress{{"b", 9, 0}, {"c", 9, 0}, {"d", 9, 0}}
	complete["10.0.0.2"] = two
	missingIn := func(all map[string]NodeStatus, ch Change) string {
		f, err := (&Client{Transport: networkOf(all)}).Fleet(context.Background(), []string{"10.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		return strings.Join((&changeTracker{change: ch}).missing(f), "; ")
	}
	incomplete := fleetOf()
	unreachable := fleetOf()
	delete(unreachable, "10.0.0.3")
	old := map[string]NodeStatus{"10.0.0.1": {Node: "one", Number: 9, Revision: 7}}
	for _, test := range []struct {
		all    map[string]NodeStatus
		change Change
		want   string
	}{
		{complete, Change{Number: 9}, ""},
		{complete, Change{Revision: 7}, ""},
		{complete, Change{Revision: 3}, ""},
		{complete, Change{Revision: 8}, "revision 8 at any keeper"},
		{incomplete, Change{Number: 8}, "proxy d, which follows no keeper that answers"},
		{incomplete, Change{Revision: 7}, "keeper three, at record 8; proxy c, at record 8; proxy d, which follows no keeper that answers"},
		{unreachable, Change{Number: 8}, "an answer of keeper 10.0.0.3:1; proxy d, which follows no keeper that answers"},
		{old, Change{Number: 9}, "a current keeper"},
	} {
		if got := missingIn(test.all, test.change); got != test.want {
			t.Errorf("%v: %q, want %q", test.change, got, test.want)
		}
	}
}

// TestWaitForARevision applies a later change while some proxies lack both changes. It guards against a wait that follows every new
// change and never ends.
func TestWaitForARevision(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var acknowledged, number atomic.Uint64
		number.Store(5)
		n := memorynet.New(map[string]http.Handler{"10.0.0.1": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			nodeHandler(NodeStatus{Node: "one", Current: true, Number: number.Load(), Revision: 7,
				Proxies: []ProxyProgress{{Node: "a", Acknowledged: acknowledged.Load()}}}).ServeHTTP(w, r)
		})})
		client := Client{Transport: n}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		go func() {
			time.Sleep(time.Second)
			number.Store(6)
			time.Sleep(time.Second)
			acknowledged.Store(5)
		}()
		began := time.Now()
		f, err := client.Wait(ctx, []string{"10.0.0.1:1"}, Change{Revision: 7})
		if err != nil || f.Number != 6 || time.Since(began) > 3*time.Second {
			t.Errorf("%+v %v after %v", f, err, time.Since(began))
		}
		_, err = client.Wait(ctx, []string{"10.0.0.1:1"}, Change{Number: 6})
		if !errors.Is(err, ErrNotApplied) || !strings.Contains(err.Error(), "proxy a, at record 5") {
			t.Error(err)
		}
	})
}

func TestHandlers(t *testing.T) {
	state, err := controlstate.Empty().Apply(controlstate.Change{Op: controlstate.OpEvacuate, Zone: "z"}.Record(1))
	if err != nil {
		t.Fatal(err)
	}
	status := ProxyStatus{Version: Version, Node: "p", Choice: "s-1 a zone: fit\ns-10 a zone: draining\n"}
	mux := http.NewServeMux()
	mux.Handle("/status", ProxyHandler(func() any { return status }))
	mux.Handle("/backup", BackupHandler(func(context.Context) (*controlstate.State, error) { return state, nil }))
	server := httptest.NewServer(mux)
	defer server.Close()
	address := server.Listener.Addr().String()
	var client Client
	proxy, err := client.ProxyStatus(context.Background(), address)
	if err != nil || proxy.Node != "p" {
		t.Fatal(proxy, err)
	}
	if all, one, none := proxy.Lines(""), proxy.Lines("s-1"), proxy.Lines("s"); len(all) != 2 || !slices.Equal(one, []string{"s-1 a zone: fit"}) || none != nil {
		t.Error(all, one, none)
	}
	if s, err := client.Backup(context.Background(), address); err != nil || !slices.Equal(s.Encode(), state.Encode()) {
		t.Error(s, err)
	}
	for _, path := range []string{"/status", "/backup"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("POST %s: %s", path, response.Status)
		}
	}
}

func TestBackupNeedsALinearizableRead(t *testing.T) {
	h := BackupHandler(func(context.Context) (*controlstate.State, error) { return nil, errors.New("no majority") })
	c := Client{Transport: memorynet.New(map[string]http.Handler{"k": h})}
	if _, err := c.Backup(context.Background(), "k:1"); !errors.Is(err, ErrUnreachable) || !strings.Contains(err.Error(), "503") {
		t.Error(err)
	}
	c.Transport = memorynet.New(map[string]http.Handler{"k": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
	})})
	if _, err := c.Backup(context.Background(), "k:1"); !errors.Is(err, ErrFormat) {
		t.Error(err)
	}
}

// TestClientFollowsNoRedirect checks that a redirect to another node is an error, and not followed to that node's status.
func TestClientFollowsNoRedirect(t *testing.T) {
	all := networkOf(fleetOf())
	all.Set("10.0.0.9", http.RedirectHandler("http://10.0.0.1:1"+statusPath, http.StatusTemporaryRedirect))
	c := Client{Transport: all}
	if s, err := c.NodeStatus(context.Background(), "10.0.0.9:1"); !errors.Is(err, ErrUnreachable) || s.Node != "" {
		t.Errorf("node %q, error %v", s.Node, err)
	}
}

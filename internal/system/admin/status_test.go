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
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// network takes requests straight to the handlers of the machine that they are for.
type network struct{ hosts map[string]http.Handler }

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	h := n.hosts[r.URL.Hostname()]
	if h == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// keeperAt answers like a keeper.
func keeperAt(s NodeStatus) http.Handler {
	return reading(func(w http.ResponseWriter, r *http.Request) {
		data, _ := json.Marshal(s)
		write(w, "application/json", data)
	})
}

// fleetOf is three keepers: the third is behind and outside the chain; b has moved from the first to the second; d follows
// none.
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

func netOf(all map[string]NodeStatus) *network {
	n := &network{hosts: map[string]http.Handler{}}
	for host, s := range all {
		n.hosts[host] = keeperAt(s)
	}
	return n
}

func TestFleetFindsTheOthers(t *testing.T) {
	c := Client{Transport: netOf(fleetOf())}
	f, err := c.Fleet(context.Background(), []string{"10.0.0.1:8166"})
	if err != nil {
		t.Fatal(err)
	}
	if f.Epoch != 4 || !slices.Equal(f.Chain, []string{"10.0.0.2", "10.0.0.1"}) || f.Number != 9 || f.Revision != 7 ||
		!slices.Equal(f.Evacuated, []string{"x", "y"}) || !f.Current() {
		t.Errorf("%+v", f)
	}
	var keepers []string
	for _, a := range f.Nodes {
		keepers = append(keepers, a.Address+" "+a.Status.Node)
	}
	if got := strings.Join(keepers, ", "); got != "10.0.0.1:8166 one, 10.0.0.2:8166 two, 10.0.0.3:8166 three" {
		t.Error(got)
	}
	want := []Subscriber{{ProxyProgress{"a", 9, 0}, "one"}, {ProxyProgress{"b", 9, 0}, "two"}, {ProxyProgress{"c", 8, 10}, "two"}}
	if !slices.Equal(f.Proxies, want) || !slices.Equal(f.Unseen, []string{"d"}) || !slices.Equal(f.Roles, []SingletonRole{{"list", "10.0.0.2"}}) {
		t.Errorf("%+v %v %v", f.Proxies, f.Unseen, f.Roles)
	}
}

// TestFleetCapacity: one keeper's word counts: of the newest epoch, current, and with a disk before observers.
func TestFleetCapacity(t *testing.T) {
	told := func(epoch uint64, current, observer bool, voters int) NodeAnswer {
		return NodeAnswer{Status: &NodeStatus{Epoch: epoch, Current: current, Observer: observer, Capacity: &Capacity{Voters: voters}}}
	}
	old := NodeAnswer{Status: &NodeStatus{Epoch: 4, Current: true}}
	for _, c := range []struct {
		answers []NodeAnswer
		voters  int // 0: no capacity
	}{
		{[]NodeAnswer{{}, old}, 0},
		{[]NodeAnswer{told(4, false, false, 1)}, 0},
		{[]NodeAnswer{told(3, true, false, 1), told(4, true, true, 2)}, 2},
		{[]NodeAnswer{told(4, true, true, 1), old, told(4, true, false, 2)}, 2},
	} {
		have := 0
		if f := merge(c.answers); f.Capacity != nil {
			have = f.Capacity.Voters
		}
		if have != c.voters {
			t.Errorf("%d voters, want %d", have, c.voters)
		}
	}
}

func TestFleetTellsWhoIsSilent(t *testing.T) {
	all := fleetOf()
	delete(all, "10.0.0.2")
	c := Client{Transport: netOf(all)}
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

func TestAnswersThatAreNoStatus(t *testing.T) {
	n := &network{hosts: map[string]http.Handler{
		"text":  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }),
		"503":   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "later", http.StatusServiceUnavailable) }),
		"newer": keeperAt(NodeStatus{Version: Version + 1}),
		"long": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, maxStatus+1))
		}),
	}}
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
	whole := fleetOf()
	three := whole["10.0.0.3"]
	three.Number, three.Revision = 9, 7
	whole["10.0.0.3"] = three
	two := whole["10.0.0.2"]
	two.Proxies = []ProxyProgress{{"b", 9, 0}, {"c", 9, 0}, {"d", 9, 0}}
	whole["10.0.0.2"] = two
	look := func(all map[string]NodeStatus, ch Change) string {
		f, err := (&Client{Transport: netOf(all)}).Fleet(context.Background(), []string{"10.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		return strings.Join((&waiter{change: ch}).missing(f), "; ")
	}
	partly := fleetOf()
	lost := fleetOf()
	delete(lost, "10.0.0.3")
	old := map[string]NodeStatus{"10.0.0.1": {Node: "one", Number: 9, Revision: 7}}
	for _, c := range []struct {
		all    map[string]NodeStatus
		change Change
		want   string
	}{
		{whole, Change{Number: 9}, ""},
		{whole, Change{Revision: 7}, ""},
		{whole, Change{Revision: 3}, ""},
		{whole, Change{Revision: 8}, "revision 8 at any keeper"},
		{partly, Change{Number: 8}, "proxy d, which follows no keeper that answers"},
		{partly, Change{Revision: 7}, "keeper three, at record 8; proxy c, at record 8; proxy d, which follows no keeper that answers"},
		{lost, Change{Number: 8}, "an answer of keeper 10.0.0.3:1; proxy d, which follows no keeper that answers"},
		{old, Change{Number: 9}, "a current keeper"},
	} {
		if got := look(c.all, c.change); got != c.want {
			t.Errorf("%v: %q, want %q", c.change, got, c.want)
		}
	}
}

// TestWaitForARevision has a later change come about while some proxies lack both. Danger: the wait runs after every new
// change and does not end.
func TestWaitForARevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var acknowledged, number atomic.Uint64
		number.Store(5)
		n := &network{hosts: map[string]http.Handler{"10.0.0.1": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			keeperAt(NodeStatus{Node: "one", Current: true, Number: number.Load(), Revision: 7,
				Proxies: []ProxyProgress{{Node: "a", Acknowledged: acknowledged.Load()}}}).ServeHTTP(w, r)
		})}}
		c := Client{Transport: n}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		go func() {
			time.Sleep(time.Second)
			number.Store(6)
			time.Sleep(time.Second)
			acknowledged.Store(5)
		}()
		began := time.Now()
		f, err := c.Wait(ctx, []string{"10.0.0.1:1"}, Change{Revision: 7})
		if err != nil || f.Number != 6 || time.Since(began) > 3*time.Second {
			t.Errorf("%+v %v after %v", f, err, time.Since(began))
		}
		_, err = c.Wait(ctx, []string{"10.0.0.1:1"}, Change{Number: 6})
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
	var c Client
	p, err := c.ProxyStatus(context.Background(), address)
	if err != nil || p.Node != "p" {
		t.Fatal(p, err)
	}
	if all, one, none := p.Lines(""), p.Lines("s-1"), p.Lines("s"); len(all) != 2 || !slices.Equal(one, []string{"s-1 a zone: fit"}) || none != nil {
		t.Error(all, one, none)
	}
	if s, err := c.Backup(context.Background(), address); err != nil || !slices.Equal(s.Encode(), state.Encode()) {
		t.Error(s, err)
	}
	for _, path := range []string{"/status", "/backup"} {
		r, err := http.Post(server.URL+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("POST %s: %s", path, r.Status)
		}
	}
}

func TestBackupNeedsAConfirmedRead(t *testing.T) {
	h := BackupHandler(func(context.Context) (*controlstate.State, error) { return nil, errors.New("no majority") })
	c := Client{Transport: &network{hosts: map[string]http.Handler{"k": h}}}
	if _, err := c.Backup(context.Background(), "k:1"); !errors.Is(err, ErrUnreachable) || !strings.Contains(err.Error(), "503") {
		t.Error(err)
	}
	c.Transport = &network{hosts: map[string]http.Handler{"k": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
	})}}
	if _, err := c.Backup(context.Background(), "k:1"); !errors.Is(err, ErrFormat) {
		t.Error(err)
	}
}

// TestClientFollowsNoRedirect has the asked address name another: its answer is not taken for that of the address asked.
func TestClientFollowsNoRedirect(t *testing.T) {
	all := netOf(fleetOf())
	all.hosts["10.0.0.9"] = http.RedirectHandler("http://10.0.0.1:1"+pathStatus, http.StatusTemporaryRedirect)
	c := Client{Transport: all}
	if s, err := c.NodeStatus(context.Background(), "10.0.0.9:1"); !errors.Is(err, ErrUnreachable) || s.Node != "" {
		t.Errorf("node %q, error %v", s.Node, err)
	}
}

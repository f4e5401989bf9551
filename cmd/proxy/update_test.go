package main

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/directory"
	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/failuredetector"
	"gradeusher.example/gradeusher/internal/system/proxy"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/system/settings"
)

const configuration = `{"revision":1,"routes":[{"name":"r","hostname":"h","path_prefix":"/","category":"idempotent","timeout_ms":1000,
"target_latency_ms":100,"priority":0,"target":"a","max_tries":2}],"services":[{"name":"a","health_path":"/health","max_conns":10,
"cold_s":3.0,"cold_per_s":31.0}],"limits":{}}`

// newTestServer returns a proxy's components, without a control plane and without clients.
func newTestServer(t *testing.T) *proxyProcess {
	t.Helper()
	discardLog := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	created := &proxyProcess{settings: &settings.Settings{Node: "p0", Ports: []int{1, 2}}, log: discardLog, synced: make(chan struct{}),
		dataPlane:  proxy.New(proxy.Options{Settings: pick.Settings{Zone: "z", Region: "r"}, Log: discardLog}),
		subscriber: distribution.NewSubscriber(distribution.SubscriberOptions{Self: softstate.Member{Node: "p0"}, Log: discardLog}),
		directory:  directory.NewDirectory(time.Second),
		agent:      failuredetector.NewAgent(failuredetector.AgentOptions{Conn: conn, Log: discardLog, Options: failuredetector.Options{Self: "p0"}}),
	}
	created.newQuotas()
	return created
}

// applyChanges returns the state after applying the changes in order.
func applyChanges(t *testing.T, state *controlstate.State, changes ...controlstate.Change) *controlstate.State {
	t.Helper()
	for _, c := range changes {
		c.Base = int64(state.Seq)
		if c.Op == controlstate.OpReplace {
			c.Base = state.Revision()
		}
		next, err := state.Apply(c.Record(state.Seq + 1))
		if err != nil {
			t.Fatal(err)
		}
		state = next
	}
	return state
}

// TestEvacuationBetweenUpdates evacuates and readmits a zone while the proxy has no contact, so that both changes reach it in one update.
// It guards against missing the evacuation: the zone is evacuated neither in the state before nor in the one after, although its
// servers may just have begun to warm up.
func TestEvacuationBetweenUpdates(t *testing.T) {
	p := newTestServer(t)
	before := applyChanges(t, controlstate.Empty().WithoutHistory(), controlstate.Change{Op: controlstate.OpReplace, Body: []byte(configuration)})
	after := applyChanges(t, before, controlstate.Change{Op: controlstate.OpEvacuate, Zone: "z"}, controlstate.Change{Op: controlstate.OpReadmit, Zone: "z"})
	update := distribution.Update{State: before, HasList: true, ListAge: 100 * time.Millisecond, Fresh: true, AsOf: time.Now(),
		Members: []softstate.Member{{Node: "p0"}},
		Servers: []pick.Server{{ID: "s0", Service: "a", Zone: "z", Address: "127.0.0.1:1"}}}
	p.applyUpdate(update)
	if p.dataPlane.AwaitsServerList() {
		t.Fatal("awaits a server list before the zone was evacuated")
	}
	update.State = after
	p.applyUpdate(update)
	if !p.dataPlane.AwaitsServerList() {
		t.Error("the servers of a zone that was evacuated meanwhile count as warm according to an older server list")
	}
}

// TestEvacuationIsSeenInASnapshot is the same test for a proxy that lags so far behind that it gets a snapshot.
func TestEvacuationIsSeenInASnapshot(t *testing.T) {
	p := newTestServer(t)
	state := applyChanges(t, controlstate.Empty(), controlstate.Change{Op: controlstate.OpReplace, Body: []byte(configuration)})
	update := distribution.Update{State: snapshot(t, state), HasList: true, ListAge: 100 * time.Millisecond, Fresh: true, AsOf: time.Now(),
		Members: []softstate.Member{{Node: "p0"}},
		Servers: []pick.Server{{ID: "s0", Service: "a", Zone: "z", Address: "127.0.0.1:1"}}}
	p.applyUpdate(update)
	state = applyChanges(t, state, controlstate.Change{Op: controlstate.OpEvacuate, Zone: "z"}, controlstate.Change{Op: controlstate.OpReadmit, Zone: "z"})
	update.State = snapshot(t, state)
	p.applyUpdate(update)
	if !p.dataPlane.AwaitsServerList() {
		t.Error("the servers of a zone that was evacuated meanwhile count as warm according to an older server list")
	}
}

// snapshot returns a state as control-plane nodes send it to proxies.
func snapshot(t *testing.T, p *controlstate.State) *controlstate.State {
	t.Helper()
	got, err := controlstate.Decode(p.WithoutHistory().Encode())
	if err != nil {
		t.Fatal(err)
	}
	return got
}

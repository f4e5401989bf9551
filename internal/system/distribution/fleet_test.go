package distribution

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

func newReader(b []byte) *bytes.Reader { return bytes.NewReader(b) }

func noOpRecord() controlstate.Record { return controlstate.Record{Op: controlstate.OpNone} }

func TestProxyIsCaughtUpWithinHalfASecondOfItsStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		time.Sleep(time.Second)
		fleet.chain.add(noOpRecord())
		putList(t, fleet.servers["k1:1"], 1, 1, []pick.Server{{ID: "s1", Service: "a", WarmUpMax: 3 * time.Second}}, softstate.Age{})
		time.Sleep(200 * time.Millisecond)
		fleet.mesh.host("k2:1", nil) // a dead seed must not delay the start
		proxy := fleet.startProxy("p1", nil)
		time.Sleep(400 * time.Millisecond)
		update := proxy.update()
		if update.State == nil || update.State.Seq != 1 || !update.Fresh || !update.HasList || len(update.Servers) != 1 || len(update.Members) != 1 {
			t.Fatalf("the proxy has %+v", update)
		}
		if c := update.Servers[0].WarmUpMax; c > 2900*time.Millisecond || c < 2000*time.Millisecond {
			t.Errorf("the server is cold for another %v", c)
		}
	})
}

func TestChangeReachesEveryProxyAndIsAcknowledged(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet("k1:1", "k2:1", "k3:1")
		defer fleet.stop()
		for i := range 12 {
			fleet.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(5 * time.Second)
		start := time.Now()
		seq := fleet.chain.add(noOpRecord())
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := fleet.servers["k2:1"].WaitAcknowledged(ctx, seq); err != nil {
			t.Fatal(err)
		}
		if d := time.Since(start); d > 150*time.Millisecond {
			t.Errorf("the acknowledgement took %v", d)
		}
		for n, proxy := range fleet.proxies {
			if got := proxy.subscriber.Current().State.Seq; got != seq {
				t.Errorf("proxy %s has record %d", n, got)
			}
			if got := len(proxy.subscriber.Current().Members); got != 12 {
				t.Errorf("proxy %s knows %d members", n, got)
			}
		}
	})
}

package distribution

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

func newReader(b []byte) *bytes.Reader { return bytes.NewReader(b) }

func none() controlstate.Record { return controlstate.Record{Op: controlstate.OpNone} }

func TestProxyIsCaughtUpWithinHalfASecondOfItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		time.Sleep(time.Second)
		fl.chain.add(none())
		if err := fl.servers["k1:1"].PutList(1, 1, []pick.Server{{ID: "s1", Service: "a", WarmUpMax: 3 * time.Second}}, madeAgo(softstate.Age{})); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		fl.mesh.host("k2:1", nil) // a dead seed does not hold it up
		p := fl.startProxy("p1", nil)
		time.Sleep(400 * time.Millisecond)
		u := p.update()
		if u.State == nil || u.State.Seq != 1 || !u.Fresh || !u.HasList || len(u.Servers) != 1 || len(u.Members) != 1 {
			t.Fatalf("holds %+v", u)
		}
		if c := u.Servers[0].WarmUpMax; c > 2900*time.Millisecond || c < 2000*time.Millisecond {
			t.Errorf("cold for %v more", c)
		}
	})
}

func TestChangeReachesEveryProxyAndIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("k1:1", "k2:1", "k3:1")
		defer fl.stop()
		for i := range 12 {
			fl.startProxy(fmt.Sprint("p", i), nil)
		}
		time.Sleep(5 * time.Second)
		start := time.Now()
		seq := fl.chain.add(none())
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := fl.servers["k2:1"].WaitAcknowledged(ctx, seq); err != nil {
			t.Fatal(err)
		}
		if d := time.Since(start); d > 150*time.Millisecond {
			t.Errorf("took %v", d)
		}
		for n, p := range fl.proxies {
			if got := p.subscriber.Current().State.Seq; got != seq {
				t.Errorf("%s holds %d", n, got)
			}
			if got := len(p.subscriber.Current().Members); got != 12 {
				t.Errorf("%s knows %d members", n, got)
			}
		}
	})
}

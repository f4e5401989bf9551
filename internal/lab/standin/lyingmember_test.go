package standin

import (
	"io"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// TestLiar has a member hear what a liar says while it is told to lie, in the form that sidecars believe.
func TestLiar(t *testing.T) {
	heard := make(chan members.News, 100)
	m, err := members.New(members.Options{Name: "n0", Listen: "127.0.0.1:0", Told: func(n members.News) {
		select {
		case heard <- n:
		default: // enough of it
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	o, _ := startStandIn(t, func(in io.Reader, out io.Writer) error {
		return LyingMember(in, out, members.Options{Name: "l0", Listen: "127.0.0.1:0", Join: []string{m.Address()}})
	})
	o.give(ctl.Order{Do: "lie", On: true, Mode: "t7,t9", By: int64(40 * time.Second)})
	select {
	case n := <-heard:
		r, err := hitters.ParseReport(n.Payload)
		if err != nil || n.Origin != "l0" || n.Kind != hittersStateKind {
			t.Fatalf("heard %+v, %v", n, err)
		}
		if r.Total != 40e6 || r.Named != 2 || r.Keys[1] != hitters.Key(hitters.Key(0, ""), "t9") || r.Shares[0] != 1<<15-1 {
			t.Errorf("heard %+v", r)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("nothing is heard of the liar")
	}
	o.give(ctl.Order{Do: "lie"})
	if _, err := forgedReport(nil, time.Second); err == nil {
		t.Error("it tells of nobody")
	}
}

package standin

import (
	"io"
	"testing"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/sidecar/members"
)

// TestLyingMember has a member receive what a lying member publishes while it is ordered to lie, in the form that sidecars believe.
func TestLyingMember(t *testing.T) {
	received := make(chan members.Update, 100)
	member, err := members.New(members.Options{Name: "n0", Listen: "127.0.0.1:0", OnUpdate: func(n members.Update) {
		select {
		case received <- n:
		default: // the test has enough of them
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if err := member.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer member.Close()
	liar, _ := startStandIn(t, func(in io.Reader, out io.Writer) error {
		return LyingMember(in, out, members.Options{Name: "l0", Listen: "127.0.0.1:0", Join: []string{member.Address()}})
	})
	liar.send(ctl.Order{Do: "lie", On: true, Mode: "t7,t9", By: int64(40 * time.Second)})
	select {
	case update := <-received:
		report, err := hitters.ParseReport(update.Payload)
		if err != nil || update.Origin != "l0" || update.Kind != hittersStateKind {
			t.Fatalf("received %+v, %v", update, err)
		}
		t9 := hitters.Key(hitters.Key(0, ""), "t9")
		if report.Total != 40e6 || report.Named != 2 || report.Keys[1] != t9 || report.Shares[0] != 1<<15-1 {
			t.Errorf("the report is %+v", report)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no report of the lying member arrived")
	}
	liar.send(ctl.Order{Do: "lie"})
	if _, err := forgedReport(nil, time.Second); err == nil {
		t.Error("a report without clients is no error")
	}
}

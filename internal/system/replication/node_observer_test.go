package replication

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestNodeWithoutDisk starts an observer along with three nodes. It needs no disk, and forwards calls.
func TestNodeWithoutDisk(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		group := newFleet(t)
		var all []*Node
		for _, a := range group.seeds {
			all = append(all, group.start(a, true))
		}
		opt := Options{Addr: "10.0.0.9", Zone: "z", Region: "r", Port: 1, Seeds: group.seeds, Bootstrap: true, MachineLosses: 1,
			Transport: group.net, Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}}
		if _, err := Start(context.Background(), opt); !errors.Is(err, ErrNoDisk) {
			t.Errorf("a node that votes started without a disk: %v", err)
		}
		opt.Observer = true
		observer, err := Start(context.Background(), opt)
		if err != nil {
			t.Fatal(err)
		}
		group.net.Set(opt.Addr, observer.Handler())
		time.Sleep(3 * time.Second) // of the bubble's clock
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if a, err := observer.Submit(ctx, evacuate("a")); err != nil || a.Kind != controlstate.Accepted || a.Seq == 0 {
			t.Fatal(a, err)
		}
		if s, err := observer.Read(ctx); err != nil || !s.Evacuated["a"] {
			t.Fatal(s, err)
		}
		if v := observer.View(); len(v.Chain) != 3 || v.chainIndex(observer.Self().ID) >= 0 || !observer.Current() {
			t.Errorf("the observer is current: %v, and knows %v", observer.Current(), v)
		}
		for _, k := range append(all, observer) {
			k.Stop()
		}
	})
}

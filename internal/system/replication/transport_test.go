package replication

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
	"gradeusher.example/gradeusher/internal/testsupport/resetserver"
)

// TestMessagesAreSentOnce uses a peer that receives every second request on its connections and then breaks them without an answer.
// The underlying HTTP transport must not resend a request on its own, since a POST that was written may have been processed.
func TestMessagesAreSentOnce(t *testing.T) {
	came := make(chan string, 100)
	peer, err := resetserver.Listen(func(body []byte) {
		var batch replicationpb.Batch
		if err := proto.Unmarshal(body, &batch); err != nil {
			t.Errorf("body is not a batch: %v", err)
		}
		for _, m := range batch.GetMessages() {
			came <- m.GetFrom()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	o := newTransport(ctx, &running, peer.Addr().Port, nil)
	seen := map[string]bool{}
	for n := range 40 {
		want := fmt.Sprint("message ", n)
		o.send(Envelope{Addr: "127.0.0.1", Msg: &replicationpb.Message{From: want}})
		select {
		case got := <-came:
			if got != want || seen[got] {
				t.Fatalf("%q arrived, want %q exactly once", got, want)
			}
			seen[got] = true
		case <-time.After(10 * time.Second):
			t.Fatalf("%q did not arrive", want)
		}
	}
	cancel()
	running.Wait()
	peer.Close()
	if len(came) > 0 {
		t.Errorf("%q arrived again", <-came)
	}
}

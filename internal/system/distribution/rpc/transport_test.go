package rpc

import (
	"context"
	"net/http"
	"testing"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/testsupport/resetserver"
)

// TestCallsAreSentOnce uses a peer that resets its connections after it has read every second call: the transport retries none of the
// calls by itself, so a late copy cannot overtake what the caller sends next. The control sets a header for which net/http does retry:
// all calls on reset connections then arrive twice.
func TestCallsAreSentOnce(t *testing.T) {
	key, err := twirp.WithHTTPRequestHeaders(context.Background(), http.Header{"X-Idempotency-Key": {"1"}})
	if err != nil {
		t.Fatal(err)
	}
	if came, failed := resetEverySecondCall(context.Background(), t, 40); came != 40 || failed != 20 {
		t.Errorf("of 40 calls %d arrived and %d failed, want 40 and 20", came, failed)
	}
	if came, failed := resetEverySecondCall(key, t, 40); came <= 40 || failed >= 20 {
		t.Errorf("control: of 40 calls %d arrived and %d failed", came, failed)
	}
}

// resetEverySecondCall makes calls to a peer that resets the connection on every second one, and returns how many arrived and how many
// failed.
func resetEverySecondCall(ctx context.Context, t *testing.T, calls int) (came, failed int) {
	t.Helper()
	arrived := make(chan uint64, 4*calls)
	peer, err := resetserver.Listen(func(body []byte) { //nolint:contextcheck // it takes none: Close below ends it
		var req distributionpb.ShareRequest
		if err := proto.Unmarshal(body, &req); err != nil {
			t.Errorf("the body is not a call: %v", err)
		}
		arrived <- req.GetBoot()
	})
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport()
	client := distributionpb.NewDistributionProtobufClient("http://"+peer.Addr().String(), &http.Client{Transport: transport})
	for n := range calls {
		if _, err := client.Share(ctx, &distributionpb.ShareRequest{Boot: uint64(n) + 1}); err != nil {
			failed++
		}
	}
	transport.CloseIdleConnections()
	peer.Close()
	return len(arrived), failed
}

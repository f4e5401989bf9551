package operatorapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// rendezvousChain answers once as many changes are in flight as were added to arrivals.
type rendezvousChain struct {
	fakeChain
	arrivals sync.WaitGroup
}

func (m *rendezvousChain) Submit(ctx context.Context, _ controlstate.Change) (controlstate.Verdict, error) {
	m.arrivals.Done()
	allArrived := make(chan struct{})
	go func() { m.arrivals.Wait(); close(allArrived) }()
	select {
	case <-allArrived:
		return controlstate.Verdict{Kind: controlstate.Accepted}, nil
	case <-ctx.Done():
		return controlstate.Verdict{}, ctx.Err()
	}
}

// TestEightChunkedChanges checks that eight changes may be in flight concurrently, even if their bodies are chunked.
func TestEightChunkedChanges(t *testing.T) {
	const changes = 8
	chain := &rendezvousChain{}
	chain.arrivals.Add(changes)
	s := httptest.NewServer(Handler(Options{Chain: chain, Log: discardLog()}))
	defer s.Close()
	var calls sync.WaitGroup
	for range changes {
		calls.Go(func() {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/Config.Replace", io.MultiReader(strings.NewReader(`{"revision":9}`), strings.NewReader(strings.Repeat(" ", 100<<10))))
			if err != nil {
				t.Error(err)
				return
			}
			r.Header.Set("X-Base-Version", "5")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if body, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d: %s", resp.StatusCode, body)
			}
		})
	}
	calls.Wait()
}

// TestChunkedBodiesAreBounded checks that bodies of undeclared length are bounded too, each and all together, and that their
// reservations are released.
func TestChunkedBodiesAreBounded(t *testing.T) {
	bounded := &api{options: Options{Log: discardLog()}, bodyBudget: byteBudget{available: 1 << 20}}
	read := func(size int64) error {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", io.LimitReader(zeros{}, size))
		r.ContentLength = -1
		body, reserved, err := bounded.readBody(httptest.NewRecorder(), r)
		defer reserved.release()
		if err == nil && int64(len(body)) != size {
			t.Errorf("%d bytes of %d", len(body), size)
		}
		return err
	}
	for _, size := range []int64{0, 1, bodyChunkBytes - 1, bodyChunkBytes, bodyChunkBytes + 1, 1 << 20} {
		if err := read(size); (err == nil) != (size < 1<<20) {
			t.Errorf("%d bytes: %v", size, err)
		}
		if bounded.bodyBudget.available != 1<<20 {
			t.Fatalf("%d bytes: %d bytes available afterwards", size, bounded.bodyBudget.available)
		}
	}
}

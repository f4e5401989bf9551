package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// pipedProxy is a proxy whose servers are functions at the other ends of pipes. It runs on a clock that the test controls.
type pipedProxy struct {
	*Proxy
	fake     *fakePicker
	servers  map[string]serverBehavior // by address
	requests chan *receivedRequest
}

func newPipedProxy(changes []configure, servers ...serverBehavior) *pipedProxy {
	route := &config.Route{Name: "r", Host: "h.example", Prefix: "/a/", Category: config.NonIdempotent, Timeout: 8 * time.Second,
		LatencyTarget: 800 * time.Millisecond, EventGapTarget: 600 * time.Millisecond, MaxAttempts: 3}
	config := &config.Config{Routes: []*config.Route{route}, Services: map[string]*config.Service{"s": {Name: "s", MaxConns: 100}}}
	options := Options{}
	for _, c := range changes {
		c(&options, config)
	}
	fake := newFakePicker(route)
	piped := &pipedProxy{newProxy(options, fake), fake, map[string]serverBehavior{}, make(chan *receivedRequest, 100)}
	state := pick.ClusterState{Config: config}
	for i, behavior := range servers {
		address := fmt.Sprint("at-", i)
		piped.servers[address] = behavior
		state.Servers = append(state.Servers, pick.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: address})
	}
	piped.UpdateClusterState(time.Now(), state)
	piped.pools.connect = func(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
		behavior := piped.servers[address]
		if behavior == nil { // nothing listens at this address
			ctx, cancel := context.WithTimeout(ctx, within)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		s := &fakeServer{requests: piped.requests}
		go s.serve(far, behavior)
		return near, nil
	}
	return piped
}

// roundTrip sends a request as a client, waits for the response, and returns how long that took.
func (p *pipedProxy) roundTrip(ctx context.Context, more ...string) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequestWithContext(ctx, "POST", "/a/x", strings.NewReader("body"))
	r.Host = "h.example"
	r.Header.Set(headerAttemptID, "id-1")
	for i := 0; i < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	w := httptest.NewRecorder()
	began := time.Now()
	p.ServeHTTP(w, r)
	took := time.Since(began)
	p.pools.close()
	synctest.Wait()
	return w, took
}

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const requestInterval = 50 * time.Millisecond

// traffic is one server in each zone, and clients of all proxies.
type traffic struct {
	log     *record
	servers []*http.Server
	cancel  context.CancelFunc
	clients sync.WaitGroup

	mu      sync.Mutex
	arrived map[string][]time.Time // by zone
}

// startTraffic starts servers at the addresses that the list names, and clients.
func startTraffic(ctx context.Context, nodes *running, log *record) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	load := &traffic{log: log, cancel: cancel, arrived: map[string][]time.Time{}}
	for i, listener := range nodes.serverListeners {
		server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: load.serverOf(zones[i], fmt.Sprintf("i-%d", i+1))}
		load.servers = append(load.servers, server)
		go func(at net.Listener) { _ = server.Serve(at) }(listener)
	}
	load.clients.Go(func() { load.sendRequests(ctx, nodes.frontAddresses()) })
	return load
}

// serverOf answers as the server of a zone does.
func (l *traffic) serverOf(zone, id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		target := r.Header.Get("X-Target-Instance")
		switch {
		case r.URL.Path == "/health":
			w.Header().Set("X-Instance-Id", id)
			return
		case target != "" && target != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		l.mu.Lock()
		l.arrived[zone] = append(l.arrived[zone], time.Now())
		l.mu.Unlock()
		l.log.printf("run in %s: %s", zone, r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Seal", "seal-"+id)
		_, _ = w.Write([]byte("thumbnail"))
	})
}

// sendRequests sends requests to one proxy after the other until ctx is done.
func (l *traffic) sendRequests(ctx context.Context, fronts []string) {
	for number := 0; ctx.Err() == nil; number++ {
		l.clients.Go(func() { l.request(ctx, fronts[number%len(fronts)], fmt.Sprintf("a%07x", number)) })
		sleep(ctx, requestInterval)
	}
}

func (l *traffic) request(ctx context.Context, front, attempt string) {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/thumb/1", strings.NewReader("lecture"))
	if err != nil {
		return
	}
	request.Host = "lectures.example"
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Time-Left-Ms", "2500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	l.log.printf("sent to %s: %s, answered %d", front, attempt, response.StatusCode)
}

// arrivals returns how many requests ran in a zone since a time.
func (l *traffic) arrivals(zone string, since time.Time) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.arrived[zone] {
		if at.After(since) {
			count++
		}
	}
	return count
}

// all returns how many requests ran anywhere since a time.
func (l *traffic) all(since time.Time) (count int) {
	for _, zone := range zones {
		count += l.arrivals(zone, since)
	}
	return count
}

func (l *traffic) stop() {
	l.cancel()
	l.clients.Wait()
	for _, server := range l.servers {
		_ = server.Close()
	}
}

package failuredetector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// Limits of an Agent.
const (
	maxProbes      = 8  // at a time
	maxDownReports = 64 // queued for OnDownReport; further ones are dropped, and the Detector repeats them
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	Options
	Conn         *net.UDPConn     // bound to the internal port; Run closes it
	OnDownReport func(DownReport) // called by Run, one at a time
	Log          log.Interface
}

// Agent drives a Detector over UDP, with HTTP as the second path. Its methods are safe for concurrent use.
// Run owns all goroutines: one that receives datagrams and one for each probe.
type Agent struct {
	options   AgentOptions
	startedAt time.Time
	client    *http.Client

	mu           sync.Mutex // guards the fields up to and including ctx
	detector     *Detector
	addresses    map[string]netip.AddrPort
	activeProbes map[string]bool // by node
	ctx          context.Context // of Run, nil before and after; probes are canceled with it

	probes sync.WaitGroup

	downReports chan DownReport
	resumed     chan struct{}
}

// NewAgent returns an agent; Run starts it.
func NewAgent(options AgentOptions) *Agent {
	options.Options = options.withDefaults()
	if options.Log == nil {
		options.Log = log.Log
	}
	return &Agent{
		options:   options,
		startedAt: time.Now(),
		client: &http.Client{
			Timeout: options.ProbeTimeout,
			Transport: &http.Transport{
				DialContext:       (&net.Dialer{Timeout: options.ProbeTimeout}).DialContext,
				DisableKeepAlives: true, // a probe must open a new connection
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		detector:     NewDetector(options.Options),
		addresses:    map[string]netip.AddrPort{},
		activeProbes: map[string]bool{},
		downReports:  make(chan DownReport, maxDownReports),
		resumed:      make(chan struct{}, 1),
	}
}

// SetMembers replaces the membership list. No messages are sent to nodes whose address is not an ip:port.
func (a *Agent) SetMembers(members []Member) {
	addresses := make(map[string]netip.AddrPort, len(members))
	for _, m := range members {
		if addr, err := netip.ParseAddrPort(m.Address); err == nil {
			addresses[m.Node] = addr
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addresses = addresses
	a.detector.SetMembers(a.now(), members)
	a.processReady(a.ctx)
}

// Leave announces a graceful shutdown to the watchers of this process.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detector.Leave(a.now())
	a.processReady(a.ctx)
}

// now returns the detector's time, which counts from the creation of the agent.
func (a *Agent) now() Time { return time.Since(a.startedAt) }

// Run sends heartbeats, receives messages and passes on down reports until ctx is done, then closes the connection. It must be called
// at most once.
func (a *Agent) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	var reader sync.WaitGroup
	reader.Go(func() { a.receiveMessages(ctx) })
	defer func() {
		cancel()
		a.shutDown(&reader)
	}()
	ticker := time.NewTicker(a.options.HeartbeatInterval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.mu.Lock()
			a.detector.Tick(a.now())
			a.processReady(ctx)
			a.mu.Unlock()
		case v := <-a.downReports:
			a.options.Log.WithFields(log.Fields{"node": v.Node, "incarnation": v.Incarnation, "down": v.Down}).Info("failuredetector: node liveness report")
			a.options.OnDownReport(v)
		case <-a.resumed:
			a.options.Log.Warn("failuredetector: this process was paused; it reports no node as down until a peer answers a ping")
		}
	}
}

// shutDown closes the connection and waits for the receiving goroutine and the probes, whose context has been canceled.
func (a *Agent) shutDown(reader *sync.WaitGroup) {
	_ = a.options.Conn.Close()
	reader.Wait()
	a.mu.Lock()
	a.ctx = nil // no further probes start
	a.mu.Unlock()
	a.probes.Wait()
	a.client.CloseIdleConnections()
}

// receiveMessages applies datagrams until the connection is closed.
func (a *Agent) receiveMessages(ctx context.Context) {
	buf := make([]byte, MaxDatagramBytes+1)
	for {
		n, _, err := a.options.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an ICMP error for an earlier datagram
		}
		m, err := Decode(buf[:n])
		if err != nil {
			continue
		}
		a.mu.Lock()
		a.detector.Receive(a.now(), m)
		a.processReady(ctx)
		a.mu.Unlock()
	}
}

// processReady carries out the actions that the detector requests; probes are canceled with ctx. The caller holds mu.
func (a *Agent) processReady(ctx context.Context) {
	out := a.detector.Ready()
	var buf [MaxDatagramBytes]byte
	for _, e := range out.Send {
		if addr, ok := a.addresses[e.To]; ok {
			// A datagram that cannot be sent counts as lost.
			_, _ = a.options.Conn.WriteToUDPAddrPort(e.Message.Append(buf[:0]), addr)
		}
	}
	for _, node := range out.Probe {
		a.startProbe(ctx, node)
	}
	for _, v := range out.DownReports {
		select {
		case a.downReports <- v:
		default:
		}
	}
	if out.Resumed {
		select {
		case a.resumed <- struct{}{}:
		default:
		}
	}
}

// startProbe probes a node over the second path, unless a probe of it is in flight. The caller holds mu.
func (a *Agent) startProbe(ctx context.Context, node string) {
	addr, ok := a.addresses[node]
	if !ok || a.ctx == nil || a.activeProbes[node] || len(a.activeProbes) >= maxProbes {
		return
	}
	a.activeProbes[node] = true
	a.probes.Go(func() {
		sentAt := a.now()
		incarnation, err := a.requestIncarnation(ctx, node, addr)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.activeProbes, node)
		a.detector.ProbeResult(a.now(), sentAt, node, incarnation, err == nil)
		a.processReady(ctx)
	})
}

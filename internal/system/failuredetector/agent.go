package failuredetector

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// AlivePath is where a process answers the second path.
const AlivePath = "/failuredetector/alive"

// The bounds of an Agent.
const (
	maxProbes   = 8  // calls of second paths at one time
	maxVerdicts = 64 // that wait for OnVerdict; more are dropped, and told again by the Detector
)

// AgentOptions are those of an Agent.
type AgentOptions struct {
	Options
	Conn      *net.UDPConn  // of the inner port; Run closes it
	OnVerdict func(Verdict) // called by Run, one at a time
	Log       log.Interface
}

// Agent drives a Detector over UDP, with HTTP as the second path.
type Agent struct {
	options   AgentOptions
	startedAt time.Time
	client    *http.Client

	mu           sync.Mutex
	detector     *Detector
	addresses    map[string]netip.AddrPort
	activeProbes map[string]bool
	ctx          context.Context // of Run; probes end with it
	probes       sync.WaitGroup

	verdicts chan Verdict
	resumed  chan struct{}
}

// NewAgent makes an agent; Run starts it.
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
				DisableKeepAlives: true, // a path that is tried must be a fresh one
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		detector:     NewDetector(options.Options),
		addresses:    map[string]netip.AddrPort{},
		activeProbes: map[string]bool{},
		verdicts:     make(chan Verdict, maxVerdicts),
		resumed:      make(chan struct{}, 1),
	}
}

// SetMembers takes over the live nodes. Those whose address is no ip:port get no beats.
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
	a.processReady()
}

// Leave tells those that watch this process that it leaves.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detector.Leave(a.now())
	a.processReady()
}

// Handler answers the second path: GET /failuredetector/alive.
func (a *Agent) Handler() http.Handler {
	body, _ := json.Marshal(aliveResponse{Node: a.options.Self, Incarnation: a.options.Incarnation}) // strings and numbers always can be
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})
}

type aliveResponse struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation,string"` // JSON's numbers do not hold 64 bits everywhere
}

func (a *Agent) now() Time { return time.Since(a.startedAt) }

// Run beats, listens and judges until ctx ends, and closes the connection. It may be called once.
func (a *Agent) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	var reader sync.WaitGroup
	reader.Go(func() { a.receiveMessages(ctx) })
	defer func() {
		cancel()
		_ = a.options.Conn.Close()
		reader.Wait()
		a.mu.Lock()
		a.ctx = nil // no probe starts any more
		a.mu.Unlock()
		a.probes.Wait()
		a.client.CloseIdleConnections()
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
			a.processReady()
			a.mu.Unlock()
		case v := <-a.verdicts:
			a.options.Log.WithFields(log.Fields{"node": v.Node, "incarnation": v.Incarnation, "down": v.Down}).Info("failuredetector: verdict")
			a.options.OnVerdict(v)
		case <-a.resumed:
			a.options.Log.Warn("failuredetector: this process has slept, it asks before it acts")
		}
	}
}

func (a *Agent) receiveMessages(ctx context.Context) {
	buf := make([]byte, MaxDatagramBytes+1)
	for {
		n, _, err := a.options.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as the refusal of a datagram that was sent before
		}
		m, err := Decode(buf[:n])
		if err != nil {
			continue
		}
		a.mu.Lock()
		a.detector.Receive(a.now(), m)
		a.processReady()
		a.mu.Unlock()
	}
}

// processReady does what the detector wants done. Its caller holds mu.
func (a *Agent) processReady() {
	out := a.detector.Ready()
	var buf [MaxDatagramBytes]byte
	for _, e := range out.Send {
		if addr, ok := a.addresses[e.To]; ok {
			// A datagram that cannot be sent is as one that is lost.
			_, _ = a.options.Conn.WriteToUDPAddrPort(e.Message.Append(buf[:0]), addr)
		}
	}
	for _, node := range out.Probe {
		a.startProbe(node)
	}
	for _, v := range out.Verdicts {
		select {
		case a.verdicts <- v:
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

// startProbe calls a node over the second path, unless that is under way. Its caller holds mu.
func (a *Agent) startProbe(node string) {
	addr, ok := a.addresses[node]
	if !ok || a.ctx == nil || a.activeProbes[node] || len(a.activeProbes) >= maxProbes {
		return
	}
	a.activeProbes[node] = true
	ctx := a.ctx
	a.probes.Go(func() {
		sentAt := a.now()
		incarnation, err := a.requestIncarnation(ctx, node, addr)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.activeProbes, node)
		a.detector.ProbeResult(a.now(), sentAt, node, incarnation, err == nil)
		a.processReady()
	})
}

func (a *Agent) requestIncarnation(ctx context.Context, node string, addr netip.AddrPort) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+AlivePath, nil)
	if err != nil {
		return 0, errors.Wrap(err, "failuredetector: the node's address makes no request")
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "failuredetector: the node was not reached")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err != nil {
		return 0, errors.Wrap(err, "failuredetector: the node's answer broke off")
	}
	var response aliveResponse
	if err := json.Unmarshal(data, &response); err != nil || resp.StatusCode != http.StatusOK || response.Node != node {
		// Another node may have its address by now.
		return 0, errors.Newf("failuredetector: the address of %s answers as another: wait for the members to tell its new one", node)
	}
	return response.Incarnation, nil
}

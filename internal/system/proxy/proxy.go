package proxy

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Options are what a Proxy is made with.
type Options struct {
	Settings    pick.Settings
	GracePeriod time.Duration // that Drain may take: what is left of the time up to the platform's kill; default 8 s
	LossSlack   time.Duration // how soon a client learns that its connection has ended, around planned work; default 200 ms
	FDLimit     int           // descriptors of the process; default 4096
	MemoryMB    int           // of the process; default 256
	Log         log.Interface // default log.Log
	OnStall     func()        // is called when the process has stood still: a keeper is to be asked at once; nil: none is. It must not block

	stall    time.Duration // a client that takes nothing for so long is given up; default stallFor
	patience time.Duration // a server may be silent so long before an answer begins; default leastPatience
	gap      time.Duration // and so long within a stream; default leastGap
	without  removed       // in tests
}

// removed are the protections that a test has taken out, to show that something breaks without each. It is zero in service.
type removed struct {
	echoedID      bool // an answer bears the id of its request
	seal          bool // a success bears the server's seal
	idleLook      bool // a connection is looked at before it is used again
	partlyWritten bool // a request of which some bytes were written may have run
	interim       bool // an answer with a status of 1xx is not the last one
	repeatRule    bool // a request that may run once is not sent on once it may have run
	promiseRule   bool // only a server's word that it did not run a request becomes a promise to the client
	unframed      bool // an answer without a length is not whole
	resumeRule    bool // only a resumable stream goes on at another server
	cut           bool // an answer that broke off ends with its connection
}

// Proxy is the data plane of one process. Its methods may be called from any goroutine.
type Proxy struct {
	opt      Options
	policy   *policy
	world    atomic.Pointer[pick.ClusterState]
	upstream *upstream
	room     *budget
	front    *front
	counters Counters
}

// New makes a Proxy that knows no world yet: it answers 503 until SetWorld has told it a configuration.
func New(o Options) *Proxy { return newProxy(o, pick.New(o.Settings)) }

func newProxy(o Options, by picker) *Proxy {
	if o.GracePeriod <= 0 {
		o.GracePeriod = 8 * time.Second
	}
	if o.LossSlack <= 0 {
		o.LossSlack = 200 * time.Millisecond
	}
	if o.FDLimit <= 0 {
		o.FDLimit = 4096
	}
	if o.MemoryMB <= 0 {
		o.MemoryMB = 256
	}
	if o.stall <= 0 {
		o.stall = stallFor
	}
	if o.patience <= 0 {
		o.patience = leastPatience
	}
	if o.gap <= 0 {
		o.gap = leastGap
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	p := &Proxy{opt: o, policy: newPolicy(by, o.OnStall), room: newBudget(int64(o.MemoryMB) << 20 / bodiesShare)}
	p.upstream = newUpstream(o.Settings, &p.counters)
	p.upstream.without = o.without
	p.front = newFront(p)
	return p
}

// UpdateClusterState replaces what is known of the configuration, the evacuated zones, the servers and the other proxies. The durations in w
// are as of the moment asOf.
func (p *Proxy) UpdateClusterState(asOf time.Time, w pick.ClusterState) {
	p.policy.SetWorld(asOf, w)
	p.upstream.update(w)
	p.world.Store(&w)
	if w.Config != nil {
		p.front.limit(w.Config.Limits)
	}
}

// AwaitsServerList tells whether some servers wait for a newer reading of the platform's list.
func (p *Proxy) AwaitsServerList() bool { return p.policy.AwaitsList() }

// SetLoads tells what all other proxies together have outstanding at each server.
func (p *Proxy) SetLoads(loads map[string]pick.Load) { p.policy.SetLoads(loads) }

// Loads is what this proxy has outstanding at each server, for the other proxies.
func (p *Proxy) Loads() map[string]pick.Load { return p.policy.Loads() }

// Describe says for operators what the choice of servers rests on.
func (p *Proxy) Describe() string { return p.policy.Describe() }

// Ready tells whether clients may come: a configuration is held and no planned end has begun.
func (p *Proxy) Ready() bool { return p.config() != nil && !p.front.draining.Load() }

// Counters are for operators.
func (p *Proxy) Counters() *Counters { return &p.counters }

func (p *Proxy) config() *config.Config {
	if w := p.world.Load(); w != nil {
		return w.Config
	}
	return nil
}

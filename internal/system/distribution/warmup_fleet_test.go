package distribution

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

const (
	warmUpListLag    = 800 * time.Millisecond // of the platform's list
	warmUpDuration   = 3 * time.Second
	warmUpRate       = 31.0
	warmUpBound      = warmUpRate*1.5 + 5
	drainTimeout     = 4 * time.Second
	faultPeriodSteps = 150 // each kind of fault occurs in one of so many steps of 25 ms
)

// warmingServer is the true state of a server.
type warmingServer struct {
	zone      string
	coldUntil time.Time
	draining  time.Time // start of draining; zero: it serves
}

// shownList is the list that the platform shows from a moment on.
type shownList struct {
	at      time.Time
	servers map[string]warmingServer
}

// warmUpFleet has nodes that poll the platform, proxies with pickers, and servers that become cold: with a new id, or under their old one
// up to 2.4 s before their zone is readmitted. Machines are isolated, killed and started meanwhile.
type warmUpFleet struct {
	*testFleet
	t              *testing.T
	rng            *rand.Rand
	config         *config.Config
	proxyNames     []string
	pickers        map[string]*fleetPicker
	polls          map[string]context.CancelFunc
	isolatedUntil  map[string]time.Time
	evacuated      map[string]uint64 // the last record that evacuated a zone
	begin          time.Time
	hideWarmUps    bool // control: pickers do not learn of cold servers
	missingPercent int  // so many of 100 entries are missing from a reading
	worst          int
	lastFault      map[string]time.Time // when a proxy, or a node (""), was last isolated, joined, killed or started
	maxLateness    time.Duration        // maximum delay of requests after a server was shown as draining and after faults on their path
	faultCounts    map[string]int

	mu          sync.Mutex
	epoch       uint64
	owner       string
	seen        map[string]uint64 // epochs known to the nodes
	trueServers map[string]warmingServer
	listHistory []shownList
	ids         int
	sent        map[string][]coldRequest // requests to cold servers within the last second
	eventLog    []string
	worstSecond string // description of the worst second
}

// coldRequest is a request to a server that was cold, and whether its proxy considered the server cold.
type coldRequest struct {
	at   time.Time
	node string
	cold bool
}

// fleetPicker is a proxy's picker, updated as cmd/proxy does it.
type fleetPicker struct {
	mu         sync.Mutex
	start      time.Time
	picker     *pick.Picker
	serves     bool
	subscriber *Subscriber

	changes map[string]uint64 // the last records that changed zones, as far as the proxy knows
}

func (p *fleetPicker) update(w *warmUpFleet, node string, update Update) {
	var live []string
	for _, member := range update.Members {
		if !member.Draining && !member.Down {
			live = append(live, member.Node)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	world := pick.ClusterState{Evacuated: update.State.Evacuated, Servers: update.Servers, ListCoversSeq: update.ListCoversSeq, ContactAge: update.ContactAge, Age: time.Since(update.AsOf),
		ZoneChanges: map[string]uint64{"za": update.State.ZoneChangeSeq("za"), "zb": update.State.ZoneChangeSeq("zb")},
		Self:        node, Peers: live, DownCount: update.DownCount, MembershipIncomplete: update.MembershipIncomplete, Stale: update.Stale}
	if update.State.Seq > 0 {
		world.Config, p.serves, p.changes = w.config, true, world.ZoneChanges
	}
	if w.hideWarmUps {
		world.ZoneChanges = nil
		world.Servers = slices.Clone(world.Servers)
		for i := range world.Servers {
			world.Servers[i].WarmUpMax = 0
		}
	}
	p.picker.UpdateClusterState(time.Since(p.start), world)
	if p.subscriber != nil {
		p.subscriber.NotifyListUpdates(p.picker.AwaitsServerList())
	}
}

func newWarmUpFleet(t *testing.T, rng *rand.Rand, proxies int, change func(*warmUpFleet)) *warmUpFleet {
	t.Helper()
	w := &warmUpFleet{testFleet: newFleet("k1:1", "k2:1", "k3:1"), t: t, rng: rng, pickers: map[string]*fleetPicker{}, polls: map[string]context.CancelFunc{},
		isolatedUntil: map[string]time.Time{}, evacuated: map[string]uint64{}, lastFault: map[string]time.Time{}, faultCounts: map[string]int{}, epoch: 1, owner: "k1:1", seen: map[string]uint64{}, trueServers: map[string]warmingServer{}, sent: map[string][]coldRequest{}}
	change(w)
	w.mesh.mu.Lock()
	w.mesh.delay = func(_, _ string) time.Duration { return time.Millisecond + rand.N(50*time.Millisecond) }
	w.mesh.mu.Unlock()
	w.config = &config.Config{Services: map[string]*config.Service{"a": {Name: "a", WarmUpRequestsPerSecond: warmUpRate, WarmUpTime: warmUpDuration}}}
	w.config.Routes = []*config.Route{{Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []config.Share{{Service: "a", Weight: 1}}}}
	w.chain.add(controlstate.Record{Op: controlstate.OpNone})
	for _, zone := range []string{"za", "zb"} {
		for range 3 {
			w.ids++
			w.trueServers[fmt.Sprint("s", w.ids)] = warmingServer{zone: zone}
		}
	}
	w.publishList()
	for _, k := range w.names {
		w.poll(k)
	}
	for i := range proxies {
		node := fmt.Sprintf("p%02d", i)
		w.proxyNames = append(w.proxyNames, node)
		w.startPickingProxy(node)
	}
	return w
}

func (w *warmUpFleet) startPickingProxy(node string) {
	p := &fleetPicker{start: time.Now(), picker: pick.New(pick.Settings{Zone: "za", Region: "r", WarmUpExcess: 1.5, WarmUpSlack: 5})}
	w.pickers[node] = p
	started := w.startProxy(node, func(options *SubscriberOptions) { options.OnUpdate = func(update Update) { p.update(w, node, update) } })
	p.mu.Lock()
	p.subscriber = started.subscriber
	p.mu.Unlock()
}

// elect moves the lease to a current node, in the next epoch.
func (w *warmUpFleet) elect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.sources[w.owner]; w.servers[w.owner] != nil && s.Current() {
		return
	}
	for _, k := range w.names {
		if w.servers[k] != nil && w.sources[k].Current() {
			w.epoch++
			w.owner = k
			w.log("epoch ", w.epoch, ": ", k)
			return
		}
	}
}

// change changes the servers of a zone. The caller has exclusive access.
func (w *warmUpFleet) change(zone string, f func(id string, s warmingServer) (string, warmingServer)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.trueServers)) {
		s := w.trueServers[id]
		if s.zone != zone {
			continue
		}
		delete(w.trueServers, id)
		to, v := f(id, s)
		if to != "" {
			w.trueServers[to] = v
		}
	}
	w.publishList()
}

func (w *warmUpFleet) replaceServer(_ string, s warmingServer) (string, warmingServer) {
	w.ids++
	return fmt.Sprint("s", w.ids), warmingServer{zone: s.zone, coldUntil: time.Now().Add(warmUpDuration)}
}

// evacuation is the progress of a zone's evacuation, and of the events that go with it.
type evacuation struct {
	zone  string
	phase int
	next  time.Duration // when the next phase begins, from the start of the run
}

// run runs the fleet for a number of seconds.
func (w *warmUpFleet) run(seconds int) {
	const step = 25 * time.Millisecond
	w.begin = time.Now()
	current := evacuation{zone: "za", next: 8 * time.Second}
	var electAt time.Time
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at = time.Since(w.begin) {
		if at > 6*time.Second {
			w.fault()
		}
		if time.Since(electAt) > 1200*time.Millisecond {
			w.elect()
			electAt = time.Now()
		}
		if at >= current.next {
			w.advance(&current, at)
		}
		w.serve()
		time.Sleep(step)
	}
}

// advance performs the next phase of an evacuation.
func (w *warmUpFleet) advance(current *evacuation, at time.Duration) {
	other := map[string]string{"za": "zb", "zb": "za"}[current.zone]
	pause := func(n int) time.Duration { return time.Duration(w.rng.IntN(n)) * time.Millisecond }
	switch current.phase {
	case 0:
		w.evacuated[current.zone] = w.chain.add(controlstate.Record{Op: controlstate.OpEvacuate, Zone: current.zone})
		w.log("evacuated ", current.zone)
		current.next, current.phase = at+time.Second+pause(3000), 1
	case 1: // the other zone goes down and comes back cold, or one of its servers drains
		w.disruptZone(other)
		current.next, current.phase = at+pause(2000), 2
	case 2: // cold again, under the old ids
		w.log("cold again with the same ids ", current.zone)
		w.change(current.zone, func(id string, server warmingServer) (string, warmingServer) {
			server.coldUntil = time.Now().Add(warmUpDuration)
			return id, server
		})
		current.next, current.phase = at+pause(2400), 3
	case 3:
		w.chain.add(controlstate.Record{Op: controlstate.OpReadmit, Zone: current.zone})
		w.faultCounts["readmitted"]++
		w.log("readmitted ", current.zone)
		current.next, current.phase = at+4*time.Second, 4
	case 4: // servers that were draining have ended
		w.change(other, func(id string, server warmingServer) (string, warmingServer) {
			if !server.draining.IsZero() {
				return w.replaceServer(id, server)
			}
			return id, server
		})
		current.zone = other
		current.next, current.phase = at+time.Duration(3000+w.rng.IntN(2000))*time.Millisecond, 0
	}
}

// disturb makes a zone come back cold with new ids, or one of its servers drain.
func (w *warmUpFleet) disruptZone(zone string) {
	if w.rng.IntN(2) == 0 {
		w.change(zone, w.replaceServer)
		w.faultCounts["zone restarted"]++
		w.log("restarted with new ids ", zone)
		return
	}
	first := true
	w.change(zone, func(id string, server warmingServer) (string, warmingServer) {
		if first && server.draining.IsZero() {
			server.draining = time.Now()
			first = false
			w.faultCounts["draining"]++
		}
		return id, server
	})
}

// disagreements ends all faults, and names the proxies that then have other servers than the node that holds the lease of the list.
func (w *warmUpFleet) disagreements() (differ []string) {
	for host := range w.isolatedUntil {
		delete(w.isolatedUntil, host)
		w.setPartitions(host, false)
	}
	for _, s := range w.sources {
		s.setStale(false)
	}
	for range 10 {
		w.elect()
		time.Sleep(time.Second)
	}
	describe := func(list []pick.Server) string {
		out := ""
		for _, s := range list {
			out += fmt.Sprint(s.ID, " ", s.Draining, " ")
		}
		return out
	}
	listed, _, _ := w.servers[w.owner].List()
	for _, node := range w.proxyNames {
		if update := w.pickers[node].subscriber.Current(); describe(update.Servers) != describe(listed) {
			differ = append(differ, fmt.Sprint(node, ": ", describe(update.Servers), "of ", describe(listed)))
		}
	}
	return differ
}

// stopAll stops the pollers and the fleet.
func (w *warmUpFleet) stopAll() {
	for _, stop := range w.polls {
		stop()
	}
	time.Sleep(3 * time.Second)
	w.stop()
}

// runWarmUpFleet runs a seed for 60 s, and names the proxies that have other servers than their node 10 s after the last fault.
func runWarmUpFleet(t *testing.T, seed uint64, proxies int, change func(*warmUpFleet)) (w *warmUpFleet, differ []string) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		w = newWarmUpFleet(t, rand.New(rand.NewPCG(seed, uint64(proxies))), proxies, change)
		defer w.stopAll()
		w.run(60)
		w.mu.Lock()
		w.missingPercent = 0
		w.mu.Unlock()
		differ = w.disagreements()
	})
	return w, differ
}

// TestWarmUpFleet: nodes and proxies are isolated, killed and restarted while zones are evacuated and readmitted cold, go down and come
// back cold, and servers drain; in half of the runs one in ten entries is missing from each reading of the list. No cold server may
// receive more requests per second than its bound. COLD_WORLD_SEEDS sets the number of seeds.
func TestWarmUpFleet(t *testing.T) {
	seeds, err := strconv.Atoi(cmp.Or(os.Getenv("COLD_WORLD_SEEDS"), "1"))
	if err != nil {
		t.Fatal(err)
	}
	events, worst := map[string]int{}, 0
	for play := range 4 * seeds {
		seed, proxies, missing := uint64(play/4), 12+8*(play%2), 10*(play/2%2)
		name := fmt.Sprintf("seed %d, %d proxies, %d of 100 entries missing", seed, proxies, missing)
		w, differ := runWarmUpFleet(t, seed, proxies, func(w *warmUpFleet) { w.missingPercent = missing })
		for what, n := range w.faultCounts {
			events[what] += n
		}
		worst = max(worst, w.worst)
		if float64(w.worst) > warmUpBound {
			t.Errorf("%s: %d requests in a second at a cold server, bound %v\n%s", name, w.worst, warmUpBound, w.worstSecond)
		}
		if len(differ) > 0 {
			t.Errorf("%s: proxies that have other servers than their node 10 s after all faults: %v\n%v", name, differ, w.eventLog)
		}
		if w.maxLateness > drainTimeout {
			t.Errorf("%s: a request came %v after the list showed its server as draining\n%v", name, w.maxLateness, w.eventLog)
		}
	}
	t.Logf("%d seeds: at most %d requests in a second; events: %v", seeds, worst, events)
}

// TestWarmUpFleetControl: pickers that do not learn of cold servers overload them, and the test detects it.
func TestWarmUpFleetControl(t *testing.T) {
	if w, _ := runWarmUpFleet(t, 1, 12, func(w *warmUpFleet) { w.hideWarmUps = true }); float64(w.worst) <= warmUpBound {
		t.Errorf("control: only %d requests in a second at a cold server, bound %v", w.worst, warmUpBound)
	}
}

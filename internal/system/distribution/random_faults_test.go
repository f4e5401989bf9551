package distribution

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestRandomFaultsEndInAgreement: after random faults have ended, all proxies agree. DISTRIBUTION_SEEDS sets the number of seeds.
func TestRandomFaultsEndInAgreement(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("DISTRIBUTION_SEEDS"), "10"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

// faultRun is a fleet with faults drawn from a seed.
type faultRun struct {
	*testFleet
	t         *testing.T
	rng       *rand.Rand
	started   int // number of proxies started so far
	version   uint64
	list      []pick.Server
	regressed bool
}

func randomFaults(t *testing.T, rng *rand.Rand) {
	run := &faultRun{testFleet: newFleet("k1:1", "k2:1", "k3:1"), t: t, rng: rng}
	defer run.stop()
	run.mesh.mu.Lock()
	run.mesh.delay = func(_, _ string) time.Duration { return time.Millisecond + rand.N(20*time.Millisecond) }
	run.mesh.mu.Unlock()
	for range 8 {
		run.startNext()
	}
	for range 60 {
		time.Sleep(rand.N(300 * time.Millisecond))
		run.fault()
	}
	run.endFaults()
	run.checkAgreement()
}

func (f *faultRun) startNext() {
	f.startProxy(fmt.Sprint("p", f.started), nil)
	f.started++
}

func (f *faultRun) hosts() []string {
	out := append([]string{}, f.names...)
	for name := range f.proxies {
		out = append(out, name)
	}
	return out
}

// fault triggers one fault or change.
func (f *faultRun) fault() {
	switch node := f.names[f.rng.IntN(3)]; f.rng.IntN(9) {
	case 0, 1:
		f.change()
	case 2:
		hosts := f.hosts()
		f.mesh.setPartitioned(hosts[f.rng.IntN(len(hosts))], hosts[f.rng.IntN(len(hosts))], true)
	case 3:
		f.endPartitions()
	case 4:
		if f.servers[node] != nil && len(f.servers) > 1 {
			f.killServer(node)
		}
	case 5:
		if f.servers[node] == nil {
			f.startServer(node)
		}
	case 6:
		f.sources[node].setStale(f.rng.IntN(2) == 0)
	case 7:
		f.killOrStartProxy()
	case 8:
		f.readList(node)
	}
}

// change adds a record, and sometimes compacts the older ones.
func (f *faultRun) change() {
	f.chain.add(noOpRecord())
	if f.rng.IntN(4) == 0 {
		f.chain.mu.Lock()
		defer f.chain.mu.Unlock()
		f.chain.compactedTo = uint64(len(f.chain.records))
	}
}

func (f *faultRun) endPartitions() {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	clear(f.mesh.partitioned)
}

func (f *faultRun) killOrStartProxy() {
	if len(f.proxies) <= 5 {
		f.startNext()
		return
	}
	for name, proxy := range f.proxies {
		f.recordRegress(proxy)
		f.killProxy(name)
		return
	}
}

// recordRegress records whether a proxy's state has gone back.
func (f *faultRun) recordRegress(proxy *testProxy) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	f.regressed = f.regressed || proxy.regressed
}

// readList makes a node read a list with one more server.
func (f *faultRun) readList(node string) {
	f.version++
	f.list = append(f.list, pick.Server{ID: fmt.Sprint("s", f.version), Service: "a"})
	if len(f.list) > 5 {
		f.list = f.list[1:]
	}
	if f.servers[node] != nil {
		_ = f.servers[node].PutList(1, f.version, f.list, boundsOf(softstate.Age{}))
	}
}

// endFaults ends all faults and starts all nodes.
func (f *faultRun) endFaults() {
	f.endPartitions()
	for _, node := range f.names {
		f.sources[node].setStale(false)
		if f.servers[node] == nil {
			f.startServer(node)
		}
	}
}

// checkAgreement makes a last change and a last list, and checks that all proxies receive both.
func (f *faultRun) checkAgreement() {
	t := f.t
	seq := f.chain.add(noOpRecord())
	time.Sleep(9 * time.Second)
	putList(t, f.servers["k1:1"], 1, f.version+1, f.list, softstate.Age{})
	time.Sleep(500 * time.Millisecond)
	defer f.logMembersOnFailure()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := f.servers["k1:1"].WaitAcknowledged(ctx, seq); err != nil {
		t.Error(err)
	}
	eventually(t, 2*time.Second, "each proxy is followed once", func() bool {
		followed := 0
		for _, server := range f.servers {
			followed += len(server.Subscribers())
		}
		return followed == len(f.proxies)
	})
	for name, proxy := range f.proxies {
		f.recordRegress(proxy)
		f.checkProxy(name, proxy, seq)
	}
	if f.regressed {
		t.Error("the state of a proxy went back")
	}
}

// checkProxy checks that a proxy has the change seq, all members and the list.
func (f *faultRun) checkProxy(name string, proxy *testProxy, seq uint64) {
	f.t.Helper()
	update := proxy.subscriber.Current()
	if update.State.Seq != seq || !update.Fresh || len(update.Members) != len(f.proxies) || len(update.Servers) != len(f.list) {
		f.t.Errorf("proxy %s: seq %d of %d, fresh %v, members %d of %d, servers %d of %d", name, update.State.Seq, seq, update.Fresh,
			len(update.Members), len(f.proxies), len(update.Servers), len(f.list))
	}
	for i := range min(len(update.Servers), len(f.list)) {
		if update.Servers[i].Service != "a" {
			f.t.Errorf("%s: server %+v", name, update.Servers[i])
		}
	}
}

func (f *faultRun) logMembersOnFailure() {
	if !f.t.Failed() {
		return
	}
	for node, server := range f.servers {
		for _, member := range server.Members() {
			f.t.Logf("%s: %+v", node, member)
		}
	}
}

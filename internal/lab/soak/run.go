package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/system/admin"
)

// Options are those of Play.
type Options struct {
	Proxy, Keeper string // programs
	Folder        string // for settings, disks and logs
	Plan          *Plan
	Scene         *testcluster.Scenario // nil: that of the plan's seed
	Tell          func(string)          // is told of troubles as they begin; nil: nobody is
}

const (
	orderWithin   = 5 * time.Second // for one order of the operator
	configEvery   = time.Second
	readEvery     = 700 * time.Millisecond
	statusEvery   = time.Second
	statusWithin  = 400 * time.Millisecond
	recoverWithin = 12 * time.Second
	recovered     = 40 // requests that must be served after the last trouble
	staggered     = 250 * time.Millisecond
)

// player is one seed under way.
type player struct {
	*testcluster.Run
	plan   *Plan
	tell   func(string)
	losing share // of the answers to the operator
	watch  watch
	late   lateness

	mu     sync.Mutex
	broken []string // never nil
	// evacuating is held by the one trouble that may evacuate: an answer that comes late has one last longer than it was drawn.
	evacuating chan struct{}
	owed       map[string]bool // zones whose evacuation was not clearly taken back
	orders     int             // acknowledged
}

// Play runs a plan against real processes and judges it. The error is that of a run that could not be begun.
func Play(ctx context.Context, o Options) (*Result, error) {
	scene := o.Scene
	if scene == nil {
		scene = Scene(o.Plan.Seed)
	}
	run, err := testcluster.Up(ctx, testcluster.UpOptions{Proxy: o.Proxy, ControlPlane: o.Keeper, Folder: o.Folder, Seed: o.Plan.Seed, Scenario: scene,
		Links: testcluster.NewLinks(o.Plan.Delay, o.Plan.Jitter)})
	if err != nil {
		return nil, err
	}
	p := &player{Run: run, plan: o.Plan, tell: o.Tell, owed: map[string]bool{}, broken: []string{}, evacuating: make(chan struct{}, 1),
		watch: watch{client: admin.Client{Transport: &http.Transport{DisableKeepAlives: true}}}}
	if p.tell == nil {
		p.tell = func(string) {}
	}
	run.Operator.LoseAnswer = p.losing.drawn
	p.play(ctx)
	if ctx.Err() == nil {
		p.recover(ctx)
	}
	p.watch.look(ctx, p.addresses())
	result := p.judge(run.Finish())
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(err, "seed %d was broken off, and is not judged", o.Plan.Seed)
	}
	return result, result.keep(o.Folder, o.Plan, story{run.Evidence})
}

// play has all troubles happen, and changes of the configuration and reads beside them.
func (p *player) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.plan.For)
	defer cancel()
	begin := time.Now()
	var all sync.WaitGroup
	all.Go(func() { p.changes(ctx) })
	all.Go(func() { p.reads(ctx) })
	all.Go(func() { p.watch.run(ctx, p.addresses()) })
	all.Go(func() { p.late.run(ctx) })
	for _, t := range p.plan.Troubles {
		all.Go(func() {
			if !clock.Sleep(ctx, time.Until(begin.Add(t.Start))) {
				return
			}
			p.tell(fmt.Sprintf("%v: %v", p.Now().Round(time.Millisecond), t))
			if err := p.do(ctx, t); err != nil && ctx.Err() == nil {
				p.fault("TROUBLE", fmt.Sprintf("%v: %v", t, err))
			}
		})
	}
	all.Wait()
}

// fault takes in what broke, by name.
func (p *player) fault(name, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, name+": "+strings.ReplaceAll(text, "\n", "; "))
}

// recover checks that requests are served again, and that what was acknowledged of evacuations is what the keepers hold.
func (p *player) recover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	if err := p.AwaitServed(ctx, recovered); err != nil {
		p.fault("RECOVER", err.Error())
	}
	for zone := range p.owed {
		if err := p.evacuate(ctx, zone, false); err != nil {
			p.fault("RECOVER", err.Error())
		}
	}
	if err := testcluster.Await(ctx, func(ctx context.Context) error { return p.watch.settled(ctx, p.Fleet.ControlPlaneAddresses()) }); err != nil {
		p.fault("RECOVER", err.Error())
	}
}

// addresses are those at which processes tell their status.
func (p *player) addresses() map[string]string {
	all := map[string]string{}
	for _, m := range p.Fleet.Machines {
		all[testcluster.ControlPlaneName(m)] = p.Fleet.Control(m)
		all[testcluster.ProxyName(m)] = p.Fleet.Internal(m)
	}
	return all
}

// keep writes what explains a result into the folder of a run that broke something.
func (r *Result) keep(folder string, plan *Plan, e fmt.Stringer) error {
	if r.Held() {
		return nil
	}
	var text strings.Builder
	for _, t := range plan.Troubles {
		fmt.Fprintln(&text, t)
	}
	text.WriteString(strings.Join(r.Broken, "\n") + "\n" + e.String())
	return os.WriteFile(filepath.Join(folder, "story.txt"), []byte(text.String()), 0o600)
}

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
	Proxy, ControlPlane string // programs
	Folder              string // for settings, disks and logs
	Plan                *Plan
	Scenario            *testcluster.Scenario // nil: that of the plan's seed
	Announce            func(string)          // is called for each fault as it begins; nil: nothing is
}

const (
	orderTimeout     = 5 * time.Second // for one order of the operator
	configInterval   = time.Second
	readInterval     = 700 * time.Millisecond
	statusInterval   = time.Second
	statusTimeout    = 400 * time.Millisecond
	recoveryTimeout  = 12 * time.Second
	recoveryRequests = 40 // requests that must be served after the last fault
	restartSpread    = 250 * time.Millisecond
)

// player is one seed under way.
type player struct {
	*testcluster.Run
	plan       *Plan
	announce   func(string)
	answerLoss probability // of the answers to the operator
	monitor    invariantMonitor
	lateness   lateness

	mu     sync.Mutex
	broken []string // never nil
	// evacuating is held by the one fault that may evacuate: an answer that comes late has one last longer than it was drawn.
	evacuating         chan struct{}
	pendingEvacuations map[string]bool // zones whose evacuation was not clearly taken back
	orders             int             // acknowledged
}

// Play runs a plan against real processes and judges it. The error is that of a run that could not be begun.
func Play(ctx context.Context, options Options) (*Result, error) {
	scene := options.Scenario
	if scene == nil {
		scene = NewScenario(options.Plan.Seed)
	}
	run, err := testcluster.Up(ctx, testcluster.UpOptions{Proxy: options.Proxy, ControlPlane: options.ControlPlane, Folder: options.Folder, Seed: options.Plan.Seed, Scenario: scene,
		Links: testcluster.NewLinks(options.Plan.Delay, options.Plan.Jitter)})
	if err != nil {
		return nil, err
	}
	play := &player{Run: run, plan: options.Plan, announce: options.Announce, pendingEvacuations: map[string]bool{}, broken: []string{}, evacuating: make(chan struct{}, 1),
		monitor: invariantMonitor{client: admin.Client{Transport: &http.Transport{DisableKeepAlives: true}}}}
	if play.announce == nil {
		play.announce = func(string) {}
	}
	run.Operator.LoseAnswer = play.answerLoss.drawn
	play.run(ctx)
	if ctx.Err() == nil {
		play.checkRecovery(ctx)
	}
	play.monitor.pollAll(ctx, play.addresses())
	result := play.evaluate(run.Finish()) //nolint:contextcheck // the run is finished also when ctx has ended
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(err, "seed %d was broken off, and is not judged", options.Plan.Seed)
	}
	return result, result.saveFailure(options.Folder, options.Plan, floodReport{run.Evidence})
}

// run injects all faults, and changes of the configuration and reads beside them.
func (p *player) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.plan.For)
	defer cancel()
	begin := time.Now()
	var all sync.WaitGroup
	all.Go(func() { p.sendChanges(ctx) })
	all.Go(func() { p.readConfig(ctx) })
	all.Go(func() { p.monitor.run(ctx, p.addresses()) })
	all.Go(func() { p.lateness.run(ctx) })
	for _, t := range p.plan.Faults {
		all.Go(func() {
			if !clock.Sleep(ctx, time.Until(begin.Add(t.Start))) {
				return
			}
			p.announce(fmt.Sprintf("%v: %v", p.Now().Round(time.Millisecond), t))
			if err := p.inject(ctx, t); err != nil && ctx.Err() == nil {
				p.recordFailure("TROUBLE", fmt.Sprintf("%v: %v", t, err))
			}
		})
	}
	all.Wait()
}

// recordFailure records what broke, by name.
func (p *player) recordFailure(name, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, name+": "+strings.ReplaceAll(text, "\n", "; "))
}

// checkRecovery checks that requests are served again, and that what was acknowledged of evacuations is what the control plane has.
func (p *player) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := p.AwaitServed(ctx, recoveryRequests); err != nil {
		p.recordFailure("RECOVER", err.Error())
	}
	for zone := range p.pendingEvacuations {
		if err := p.setEvacuated(ctx, zone, false); err != nil {
			p.recordFailure("RECOVER", err.Error())
		}
	}
	if err := testcluster.Await(ctx, func(ctx context.Context) error { return p.monitor.checkSettled(ctx, p.Fleet.ControlPlaneAddresses()) }); err != nil {
		p.recordFailure("RECOVER", err.Error())
	}
}

// addresses are those at which processes serve their status.
func (p *player) addresses() map[string]string {
	all := map[string]string{}
	for _, m := range p.Fleet.Machines {
		all[testcluster.ControlPlaneName(m)] = p.Fleet.Control(m)
		all[testcluster.ProxyName(m)] = p.Fleet.Internal(m)
	}
	return all
}

// saveFailure writes what explains a result into the folder of a run that broke something.
func (r *Result) saveFailure(folder string, plan *Plan, e fmt.Stringer) error {
	if r.Passed() {
		return nil
	}
	var text strings.Builder
	for _, t := range plan.Faults {
		fmt.Fprintln(&text, t)
	}
	text.WriteString(strings.Join(r.Broken, "\n") + "\n" + e.String())
	return os.WriteFile(filepath.Join(folder, "story.txt"), []byte(text.String()), 0o600)
}

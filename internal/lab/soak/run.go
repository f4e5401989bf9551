package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
	"gradeusher.example/gradeusher/internal/system/admin"
)

// Options are those of Play.
type Options struct {
	Proxy, ControlPlane string // programs
	Folder              string // for settings, disks and logs
	Plan                *Plan
	Scenario            *testcluster.Scenario // nil: that of the plan's seed
	Announce            func(string)          // is called for each fault as it begins; may be nil
}

// failureFile is the file in which a run that has not passed leaves its plan, what is broken and the details.
const failureFile = "story.txt"

const (
	changeTimeout    = 5 * time.Second // for one change or reading of the operator
	configInterval   = time.Second     // between changes of the configuration
	readInterval     = 700 * time.Millisecond
	recoveryTimeout  = 12 * time.Second
	recoveryRequests = 40 // requests that must be served after the last fault
)

// player is one seed under way.
type player struct {
	*testcluster.Run
	plan       *Plan
	announce   func(string)
	answerLoss probability // of the answers to the operator
	monitor    invariantMonitor
	lateness   lateness

	// evacuating holds a value while a fault evacuates a zone: an answer that comes late may have a fault last longer than it was drawn.
	evacuating chan struct{}

	usualConfig *rules.Config // in force when the run began
	changing    sync.Mutex    // is held while a change of the configuration is sent; guards Scenario.Config and revisions
	revisions   *rand.Rand    // from which the revisions of changes are drawn

	mu                  sync.Mutex
	broken              []string        // as in Result; never nil
	pendingEvacuations  map[string]bool // zones whose evacuation was started, and not clearly ended
	acknowledgedChanges int             // of the configuration
	skippedFaults       int             // that had nothing to do
}

// Play plays a plan against real processes and judges it. It fails if the run cannot be started, or if ctx ends before the run is over.
func Play(ctx context.Context, options Options) (*Result, error) {
	scenario := options.Scenario
	if scenario == nil {
		scenario = NewScenario(options.Plan.Seed)
	}
	run, err := testcluster.Up(ctx, testcluster.UpOptions{Proxy: options.Proxy, ControlPlane: options.ControlPlane, Folder: options.Folder,
		Seed: options.Plan.Seed, Scenario: scenario, Links: testcluster.NewLinks(options.Plan.Delay, options.Plan.Jitter)})
	if err != nil {
		return nil, err
	}
	play := newPlayer(run, options)
	play.run(ctx)
	if ctx.Err() == nil {
		play.checkRecovery(ctx)
	}
	play.monitor.pollAll(ctx, play.addresses())
	result := play.evaluate(run.Finish()) //nolint:contextcheck // the run is finished also when ctx has ended
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(err, "seed %d was broken off, and is not judged", options.Plan.Seed)
	}
	return result, result.saveIfFailed(options.Folder, options.Plan, floodReport{run.Evidence})
}

func newPlayer(run *testcluster.Run, options Options) *player {
	announce := options.Announce
	if announce == nil {
		announce = func(string) {}
	}
	play := &player{
		Run:                run,
		plan:               options.Plan,
		announce:           announce,
		usualConfig:        run.Scenario.Config,
		revisions:          rand.New(rand.NewPCG(options.Plan.Seed, revisionStream)),
		monitor:            invariantMonitor{client: admin.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
		evacuating:         make(chan struct{}, 1),
		broken:             []string{},
		pendingEvacuations: map[string]bool{},
	}
	run.Operator.LoseAnswer = play.answerLoss.drawn
	return play
}

// run injects all faults, while the operator changes and reads the configuration. It returns when the plan's time is over.
func (p *player) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.plan.For)
	defer cancel()
	begin := time.Now()
	var all sync.WaitGroup
	all.Go(func() { p.sendChanges(ctx) })
	all.Go(func() { p.readConfig(ctx) })
	all.Go(func() { p.monitor.run(ctx, p.addresses()) })
	all.Go(func() { p.lateness.run(ctx) })
	for _, fault := range p.plan.Faults {
		all.Go(func() {
			if !clock.Sleep(ctx, time.Until(begin.Add(fault.Start))) {
				return
			}
			p.announce(fmt.Sprintf("%v: %v", p.Now().Round(time.Millisecond), fault))
			if err := p.inject(ctx, fault); err != nil && ctx.Err() == nil {
				p.recordFailure(injectionFailed, fmt.Sprintf("%v: %v", fault, err))
			}
		})
	}
	all.Wait()
}

// recordFailure lists a failure as broken, in one line.
func (p *player) recordFailure(kind failureKind, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, kind.line(strings.ReplaceAll(text, "\n", "; ")))
}

// checkRecovery checks that requests are served, ends the evacuations that are pending, and checks that the control plane recovers.
func (p *player) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := p.AwaitServed(ctx, recoveryRequests); err != nil {
		p.recordFailure(notRecovered, err.Error())
	}
	for zone := range p.pendingEvacuations {
		if err := p.setEvacuated(ctx, zone, false); err != nil {
			p.recordFailure(notRecovered, err.Error())
		}
	}
	recovered := func(ctx context.Context) error {
		return p.monitor.checkControlPlane(ctx, p.Fleet.ControlPlaneAddresses())
	}
	if err := testcluster.Await(ctx, recovered); err != nil {
		p.recordFailure(notRecovered, err.Error())
	}
}

// addresses returns the addresses at which processes serve their status, by the names of the processes.
func (p *player) addresses() map[string]string {
	all := map[string]string{}
	for _, m := range p.Fleet.Machines {
		all[testcluster.ControlPlaneName(m)] = p.Fleet.ControlAddress(m)
		all[testcluster.ProxyName(m)] = p.Fleet.InternalAddress(m)
	}
	return all
}

// saveIfFailed writes the plan, what is broken and further details into the folder of a run that has not passed.
func (r *Result) saveIfFailed(folder string, plan *Plan, details fmt.Stringer) error {
	if r.Passed() {
		return nil
	}
	var text strings.Builder
	for _, fault := range plan.Faults {
		fmt.Fprintln(&text, fault)
	}
	text.WriteString(strings.Join(r.Broken, "\n") + "\n" + details.String())
	return os.WriteFile(filepath.Join(folder, failureFile), []byte(text.String()), 0o600)
}

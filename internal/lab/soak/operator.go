package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// probability is a part of 1 that may change at any time.
type probability struct{ bits atomic.Uint64 }

func (s *probability) set(v float64) { s.bits.Store(math.Float64bits(v)) }

// drawn reports whether a draw falls into the share.
func (s *probability) drawn() bool { return rand.Float64() < math.Float64frombits(s.bits.Load()) }

const (
	addedName   = "added"
	addedPrefix = "/added/"
	thumbRoute  = 2 // of the scenario's routes
)

// sendChanges sends sendChanges of the configuration, one a second, and looks at a proxy after each.
func (p *player) sendChanges(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.plan.Seed, 37))
	for n := 0; clock.Sleep(ctx, configInterval); n++ {
		if err := p.sendChange(ctx, n, rng); err != nil && ctx.Err() == nil {
			p.refreshConfig(ctx)
		}
		m := p.Fleet.Machines[rng.IntN(len(p.Fleet.Machines))]
		p.Probe(ctx, p.Fleet.Front(m), p.Scenario.Config.Routes[0].Host, fmt.Sprintf("%s%d", addedPrefix, n))
	}
}

// sendChange makes the n-th sendChange.
func (p *player) sendChange(ctx context.Context, number int, rng *rand.Rand) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	now := p.Scenario.Config
	revision := now.Revision + 1 + rng.Int64N(5)
	has := slices.ContainsFunc(now.Routes, func(r rules.Route) bool { return r.Name == addedName })
	var err error
	switch {
	case number%3 == 0 && !has:
		route := now.Routes[thumbRoute]
		route.Name, route.Prefix = addedName, addedPrefix
		err = p.AddRoute(ctx, revision, route)
	case number%3 == 0:
		err = p.RemoveRoute(ctx, revision, addedName)
	default:
		after := *now
		after.Revision = revision
		after.Routes = slices.Clone(now.Routes)
		after.Routes[number%2].Timeout += rng.IntN(3) - 1
		if err = p.Operator.Replace(ctx, &after, now.Revision); err == nil {
			p.Scenario.Config = &after
		}
	}
	if err == nil {
		p.mu.Lock()
		p.orders++
		p.mu.Unlock()
	}
	return err
}

// refreshConfig goes on from what is in force, after an order without a clear answer.
func (p *player) refreshConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if c, err := p.Operator.Read(ctx); err == nil {
		p.Scenario.Config = c
	}
}

// separateOperator gives an operator that makes calls beside the others.
func (p *player) separateOperator() *testcluster.Operator {
	o := *p.Operator
	return &o
}

// readConfig asks for the configuration again and again; the answers are evidence.
func (p *player) readConfig(ctx context.Context) {
	reader := p.separateOperator()
	for clock.Sleep(ctx, readInterval) {
		asked, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := reader.Read(asked) // none comes while the control plane is down
		cancel()
		if err != nil && ctx.Err() != nil {
			return
		}
	}
}

// setEvacuated sends an evacuation or takes it back, again and again until there is a clear answer or ctx ends.
func (p *player) setEvacuated(ctx context.Context, zone string, start bool) error {
	operator := p.separateOperator()
	for {
		asked, cancel := context.WithTimeout(ctx, orderTimeout)
		err := operator.Evacuate(asked, zone, start)
		cancel()
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil, errors.Is(err, testcluster.ErrRefused):
			return err
		}
	}
}

package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

const (
	evacuationLead = 1500 * time.Millisecond // from the start of an evacuation to the restart of the other zone
	minWarmUpLead  = 300 * time.Millisecond  // bounds of Fault.WarmUpLead
	maxWarmUpLead  = 2 * time.Second
	aloneFor       = 2 * time.Second // for which all requests of a region go to a zone whose evacuation has just ended
)

// drawEvacuation draws an evacuation of a zone, at the end of which the zone's servers warm up.
func (d *drawer) drawEvacuation(fault *Fault) {
	fault.WarmUpLead = d.drawDuration(minWarmUpLead, maxWarmUpLead)
	fault.Length = d.scenario.Bounds.Evacuate + d.drawDuration(time.Second, 3*time.Second) + maxWarmUpLead
}

// drawRestartDuringEvacuation draws an evacuation of one zone of a region, during which the servers of the other zone restart and warm up.
func (d *drawer) drawRestartDuringEvacuation(fault *Fault) {
	d.drawZonePair(fault)
	fault.Down = d.drawDuration(time.Second, 4*time.Second)
	fault.Length = evacuationLead + fault.Down + warmUpOf(d.scenario) + warmUpMargin + maxWarmUpLead
}

// drawEndEvacuationAlone draws an evacuation of one zone of a region that ends while the servers of the other zone are down.
func (d *drawer) drawEndEvacuationAlone(fault *Fault) {
	d.drawZonePair(fault)
	fault.Down = fault.WarmUpLead + d.drawDuration(0, time.Second) + aloneFor
	fault.Length = d.scenario.Bounds.Evacuate + fault.Down + warmUpOf(d.scenario) + warmUpMargin
}

// drawZonePair draws which one of the home zones has the fault, while the other one is evacuated.
func (d *drawer) drawZonePair(fault *Fault) {
	fault.Target, fault.Other = homeZones[0], homeZones[1]
	fault.WarmUpLead = d.drawDuration(minWarmUpLead, maxWarmUpLead)
	if d.rng.IntN(2) == 0 {
		fault.Target, fault.Other = fault.Other, fault.Target
	}
}

func claimEvacuation(d *drawer, fault Fault) []claim {
	claims := append(d.claimsOfZone(fault.Target), "evacuation")
	if fault.Other != "" {
		claims = append(claims, d.claimsOfZone(fault.Other)...)
	}
	return claims
}

// evacuateZone evacuates a zone and ends the evacuation, after the zone's servers have begun to warm up. Meanwhile the servers of the other
// zone of the region may restart and warm up, or still be down at the end, as the kind says. While an earlier evacuation, which an answer has
// delayed, has not ended, it does nothing, and the fault counts as skipped.
func (p *player) evacuateZone(ctx context.Context, fault Fault) error {
	began, zone := time.Now(), fault.Target
	if fault.Other != "" {
		zone = fault.Other
	}
	select {
	case p.evacuating <- struct{}{}:
		defer func() { <-p.evacuating }()
	default:
		p.skipFault()
		return nil
	}
	acknowledged, err := p.startEvacuation(ctx, zone)
	if err != nil {
		return err
	}
	if !acknowledged {
		fault.WarmUpLead = 0 // The zone may be in service, where nobody could know of servers that begin to warm up.
	}
	answered := time.Now()
	if err := p.disturbEvacuation(ctx, fault, began); err != nil {
		return err
	}
	// All proxies in contact have stopped sending to the zone once that time is over.
	clock.Sleep(ctx, p.Scenario.Bounds.Evacuate-time.Since(answered))
	err = p.endEvacuation(ctx, zone, fault.WarmUpLead)
	if fault.Kind != EndEvacuationAlone {
		return err
	}
	clock.Sleep(ctx, aloneFor)
	return errors.Join(err, p.startZone(ctx, fault.Target))
}

// skipFault counts a fault that had nothing to do.
func (p *player) skipFault() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skippedFaults++
}

// startEvacuation starts the evacuation of a zone, which is pending from then on. Without a clear answer in time it is not acknowledged, but
// may be in force. It fails if the evacuation is refused.
func (p *player) startEvacuation(ctx context.Context, zone string) (acknowledged bool, err error) {
	p.setPendingEvacuation(zone, true)
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err = p.setEvacuated(ctx, zone, true)
	if errors.Is(err, testcluster.ErrRefused) {
		return false, err
	}
	return err == nil, nil
}

// disturbEvacuation does what a fault does to the target zone while the other one is evacuated, and returns when the lead of the warm-up
// begins. began is when the fault began.
func (p *player) disturbEvacuation(ctx context.Context, fault Fault, began time.Time) error {
	switch fault.Kind {
	case RestartZoneDuringEvacuation:
		clock.Sleep(ctx, evacuationLead-time.Since(began))
		if err := p.restartZone(ctx, fault.Target, fault.Down); err != nil {
			return err
		}
		clock.Sleep(ctx, maxWarmUpLead-fault.WarmUpLead)
	case EndEvacuationAlone:
		clock.Sleep(ctx, p.Scenario.Bounds.Evacuate-time.Since(began))
		p.crashZone(fault.Target)
		clock.Sleep(ctx, fault.Down-aloneFor-fault.WarmUpLead)
	default:
		clock.Sleep(ctx, fault.Length-fault.WarmUpLead-time.Since(began))
	}
	return nil
}

// endEvacuation ends an evacuation, after the zone's servers have been warming up for warmUpLead. If that is 0, they do not warm up.
func (p *player) endEvacuation(ctx context.Context, zone string, warmUpLead time.Duration) error {
	if warmUpLead > 0 {
		for _, s := range p.servers(zone) {
			s.SetWarmingUp(min(warmUpLead+warmUpOf(p.Scenario)-warmUpMargin, 2*s.WarmUp))
		}
	}
	clock.Sleep(ctx, warmUpLead)
	if err := p.setEvacuated(ctx, zone, false); err != nil {
		return err
	}
	p.setPendingEvacuation(zone, false)
	return nil
}

// setPendingEvacuation records that the evacuation of a zone has to be ended, or that its end was acknowledged.
func (p *player) setPendingEvacuation(zone string, pending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending {
		p.pendingEvacuations[zone] = true
	} else {
		delete(p.pendingEvacuations, zone)
	}
}

package soak

import (
	"context"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

// drawLoss draws a fault by which answers are lost.
func (d *drawer) drawLoss(fault *Fault) {
	fault.Length = d.drawDuration(time.Second, 4*time.Second)
	fault.LossRate = 0.1 + 0.5*d.rng.Float64()
}

func claimAnswers(_ *drawer, fault Fault) []claim {
	return []claim{claim("answers of " + fault.Target)}
}

func claimAcknowledgements(*drawer, Fault) []claim { return []claim{"answers to the operator"} }

// loseAnswers has the servers of a zone run requests without answering them. It records no fault, as servers record each request themselves.
func (p *player) loseAnswers(ctx context.Context, fault Fault) error {
	for _, s := range p.servers(fault.Target) {
		s.LoseAnswers(fault.LossRate)
		defer s.LoseAnswers(0)
	}
	clock.Sleep(ctx, fault.Length)
	return nil
}

// loseAcknowledgements has the operator not receive answers of the control plane.
func (p *player) loseAcknowledgements(ctx context.Context, fault Fault) error {
	p.answerLoss.set(fault.LossRate)
	clock.Sleep(ctx, fault.Length)
	p.answerLoss.set(0)
	return nil
}

package soak

import "context"

// Kind is a kind of fault. Its text is in plans that are printed and in the files of failed seeds.
type Kind string

// The kinds of faults.
const (
	KillProxy                   Kind = "kill proxy"
	KillControlPlane            Kind = "kill keeper"
	KillZone                    Kind = "kill all proxies of zone"
	KillAllControlPlanes        Kind = "kill all keepers"
	PauseProxy                  Kind = "pause proxy"
	PauseControlPlane           Kind = "pause keeper"
	PartitionProxy              Kind = "cut proxy from keepers"
	PartitionControlPlane       Kind = "cut keeper from all"
	PartitionFromList           Kind = "cut keeper from the list"
	PartitionAllFromList        Kind = "cut all keepers from the list"
	PartitionServer             Kind = "cut server from proxies"
	PartitionFromServers        Kind = "cut proxy from servers"
	TerminateProxy              Kind = "end proxy by SIGTERM"
	SlowProxy                   Kind = "slow links of proxy"
	SlowControlPlane            Kind = "slow links of keeper"
	SlowLists                   Kind = "slow links to the list"
	SlowServer                  Kind = "slow links to server"
	LoseAnswers                 Kind = "lose answers of the servers of zone"
	LoseAcknowledgements        Kind = "lose answers to the operator"
	RestartZone                 Kind = "cold return of zone"
	EvacuateZone                Kind = "evacuate zone, cold at its end"
	RestartZoneDuringEvacuation Kind = "cold return while the other zone is evacuated:"
	EndEvacuationAlone          Kind = "taking a zone back alone, the other one down:"
	DrainServer                 Kind = "drain server"
	FloodByTenant               Kind = "hot_tenant"
	RevokeKey                   Kind = "revoke"
	LowerLimit                  Kind = "lower limit"
	CutBridge                   Kind = "bridge_cut"
)

// claim names something that a fault needs for itself. Faults with a claim in common must not overlap.
type claim string

// kindSpec says how faults of a kind are drawn and injected.
type kindSpec struct {
	kind   Kind
	weight int // how often the kind is drawn, relative to the sum of all weights
	// draw draws what a fault has besides its target, which is drawn after that.
	draw func(*drawer, *Fault)
	// target draws what a fault is done to; nil: draw has drawn it, or the kind has none.
	target func(*drawer) string
	// claims returns what a fault needs for itself.
	claims func(*drawer, Fault) []claim
	// inject injects a fault, and returns when it is over.
	inject func(*player, context.Context, Fault) error
}

// kindSpecs has all kinds. Their order decides which one a random number draws.
var kindSpecs = []kindSpec{
	{KillProxy, 8, (*drawer).drawKill, (*drawer).drawMachine, claimProxy, (*player).killProxies},
	{KillControlPlane, 8, (*drawer).drawKill, (*drawer).drawVoter, claimControlPlane, (*player).killControlPlanes},
	{KillZone, 3, (*drawer).drawKill, (*drawer).drawMachineZone, claimProxiesOfZone, (*player).killProxies},
	{KillAllControlPlanes, 3, (*drawer).drawKill, nil, claimAllControlPlanes, (*player).killControlPlanes},
	{PauseProxy, 10, (*drawer).drawPause, (*drawer).drawMachine, claimProxy, (*player).pause},
	{PauseControlPlane, 10, (*drawer).drawPause, (*drawer).drawVoter, claimControlPlane, (*player).pause},
	{PartitionProxy, 6, (*drawer).drawPartition, (*drawer).drawMachine, claimLinks, (*player).disturbProcessLinks},
	{PartitionControlPlane, 6, (*drawer).drawPartition, (*drawer).drawVoter, claimLinks, (*player).disturbProcessLinks},
	{PartitionFromList, 4, (*drawer).drawPartition, (*drawer).drawVoter, claimList, (*player).disturbOtherLinks},
	{PartitionAllFromList, 3, (*drawer).drawPartition, nil, claimList, (*player).disturbOtherLinks},
	{PartitionServer, 4, (*drawer).drawPartition, (*drawer).drawServer, claimServer, (*player).disturbOtherLinks},
	{PartitionFromServers, 8, (*drawer).drawPartitionFromServers, (*drawer).drawMachine, claimServers, (*player).disturbProcessLinks},
	{TerminateProxy, 8, (*drawer).drawTermination, (*drawer).drawMachine, claimProxy, (*player).terminateProxy},
	{SlowProxy, 4, (*drawer).drawSlowLinks, (*drawer).drawMachine, claimLinks, (*player).disturbProcessLinks},
	{SlowControlPlane, 4, (*drawer).drawSlowLinks, (*drawer).drawVoter, claimLinks, (*player).disturbProcessLinks},
	{SlowLists, 6, (*drawer).drawSlowLinks, nil, claimList, (*player).disturbOtherLinks},
	{SlowServer, 3, (*drawer).drawSlowLinks, (*drawer).drawServer, claimServer, (*player).disturbOtherLinks},
	{LoseAnswers, 4, (*drawer).drawLoss, (*drawer).drawServerZone, claimAnswers, (*player).loseAnswers},
	{LoseAcknowledgements, 4, (*drawer).drawLoss, nil, claimAcknowledgements, (*player).loseAcknowledgements},
	{RestartZone, 14, (*drawer).drawZoneRestart, (*drawer).drawHomeZone, claimZoneServers, (*player).restartZoneServers},
	{EvacuateZone, 6, (*drawer).drawEvacuation, (*drawer).drawHomeZone, claimEvacuation, (*player).evacuateZone},
	{RestartZoneDuringEvacuation, 8, (*drawer).drawRestartDuringEvacuation, nil, claimEvacuation, (*player).evacuateZone},
	{EndEvacuationAlone, 8, (*drawer).drawEndEvacuationAlone, nil, claimEvacuation, (*player).evacuateZone},
	{DrainServer, 3, (*drawer).drawDrain, (*drawer).drawServer, claimDrain, (*player).drainServer},
	{FloodByTenant, 6, (*drawer).drawFlood, (*drawer).drawHotTenant, claimTenant, (*player).floodByTenant},
	{RevokeKey, 6, (*drawer).drawTenantChange, (*drawer).drawRevocableKey, claimTenant, (*player).revokeKey},
	{LowerLimit, 6, (*drawer).drawTenantChange, (*drawer).drawLargeTenant, claimTenant, (*player).lowerLimit},
	{CutBridge, 6, (*drawer).drawBridgeCut, nil, claimBridge, (*player).cutBridge},
}

// specOf returns the specification of a kind; ok is false if there is no such kind.
func specOf(kind Kind) (spec kindSpec, ok bool) {
	for _, spec := range kindSpecs {
		if spec.kind == kind {
			return spec, true
		}
	}
	return kindSpec{}, false
}

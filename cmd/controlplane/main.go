// Command controlplane is a node of the control plane. With a disk it is a replica of the control state, in a chain with the other nodes
// (package replication), publishes the state to proxies that subscribe to it (distribution), polls the platform's server list while it
// owns that singleton role (platform, ownership), and leases shares of tenants' limits to proxies while it owns the role for that
// (quota/quotarpc). Without a disk it is an observer: it has no vote, forwards requests, and refers proxies to the replicas. Both serve
// the operator's API (operatorapi) and the status and backup of admin.
//
// The process runs until it is asked to terminate; it then leaves the chain within the grace period, so that other replicas take over
// first.
// GRADEUSHER_BOOT names the settings file.
package main

import (
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/settings"
)

func main() {
	process.Main(process.Program{Name: "controlplane", Description: "Control-plane node of the gradeusher system.", Role: settings.ControlPlane, Run: run})
}

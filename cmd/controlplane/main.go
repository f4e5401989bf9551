// Command controlplane is a node of the control plane: it keeps the control state on disk, replicated by a chain with the other
// nodes, serves the operator's API, and distributes the state to the proxies. The settings file is named by GRADEUSHER_BOOT.
package main

import (
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/settings"
)

func main() {
	process.Main(process.Program{Name: "controlplane", Description: "Control-plane node of the gradeusher system.", Role: settings.ControlPlane, Run: run})
}

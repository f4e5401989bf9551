// Command keeper is the keeper of the system: it holds the control state on disk, in a chain with the other keepers, takes
// the operator's calls, and feeds the proxies. The settings file is named by GRADEUSHER_BOOT.
package main

import (
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/settings"
)

func main() {
	process.Main(process.Program{Name: "keeper", Description: "Keeper of the gradeusher system.", Role: settings.ControlPlane, Run: run})
}

// Command refuge is the keeper of the system: it holds the control state on disk, in a chain with the other keepers, takes
// the operator's calls, and feeds the proxies. The settings file is named by GRADEUSHER_BOOT.
package main

import (
	"gradeusher.example/gradeusher/internal/bivouac"
	"gradeusher.example/gradeusher/internal/hut"
)

func main() {
	bivouac.Main(bivouac.Program{Name: "refuge", Description: "Keeper of the gradeusher system.", Role: hut.Keeper, Run: run})
}

// Command trailhead is the proxy of the system: it carries clients' requests to model servers and other servers, and
// answers the directory. The settings file is named by GRADEUSHER_BOOT.
package main

import (
	"gradeusher.example/gradeusher/internal/bivouac"
	"gradeusher.example/gradeusher/internal/hut"
)

func main() {
	bivouac.Main(bivouac.Program{Name: "trailhead", Description: "Proxy of the gradeusher system.", Role: hut.Proxy, Run: run})
}

// Command proxy is the proxy of the system: it carries clients' requests to model servers and other servers, and
// answers the directory. The settings file is named by GRADEUSHER_BOOT.
package main

import (
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/settings"
)

func main() {
	process.Main(process.Program{Name: "proxy", Description: "Proxy of the gradeusher system.", Role: settings.Proxy, Run: run})
}

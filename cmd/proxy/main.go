// Command proxy is the data plane of the system: it forwards clients' requests to model servers and other servers (package proxy),
// according to the configuration and the server list, to which it subscribes at a control-plane node (distribution). It serves the
// directory of proxies and a readiness check to clients and load balancers (directory), and monitors other proxies (failuredetector).
// Together with the other proxies of its zone it enforces the limits of tenants (quota/quotarpc).
//
// It accepts clients once it has a configuration and a server list. When asked to terminate, it leaves the directory first and then
// finishes the requests in flight within the grace period. GRADEUSHER_BOOT names the settings file.
package main

import (
	"gradeusher.example/gradeusher/internal/system/process"
	"gradeusher.example/gradeusher/internal/system/settings"
)

func main() {
	process.Main(process.Program{Name: "proxy", Description: "Proxy of the gradeusher system.", Role: settings.Proxy, Run: run})
}

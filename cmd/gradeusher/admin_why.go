package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"gradeusher.example/gradeusher/internal/system/admin"
)

type systemWhyCommand struct {
	Proxy  string `arg:"" help:"Inner address of the proxy (IP:PORT), the second of its port_range."`
	Server string `arg:"" optional:"" help:"Only this server's id."`
	Tenant string `help:"Print only why requests of this tenant were refused for its quota."`
	JSON   bool   `help:"Print the proxy's whole status as JSON." name:"json"`
}

// Run prints what the proxy's choice of servers rests on. It fails where the proxy does not know the server.
func (c systemWhyCommand) Run(ctx context.Context, stdio streams) error {
	var client admin.Client
	status, err := client.ProxyStatus(ctx, c.Proxy)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(status)
	}
	if c.Tenant != "" {
		c.printRefusals(stdio, status)
		return nil
	}
	stdio.printf("proxy %s: %s, %s, record %d, revision %d, evacuated zones: %s\n", status.Node, choose(status.Ready, "ready", "NOT ready"),
		choose(status.Fresh, "fresh", "NOT fresh"), status.Number, status.Revision, orNone(status.Evacuated))
	if status.ListAgeMS < 0 {
		stdio.println("no list of servers has come")
	} else {
		stdio.printf("%d servers on a list that is %d ms old\n", status.Servers, status.ListAgeMS)
	}
	for _, line := range status.RefusalLines("") {
		stdio.println(line)
	}
	lines := status.Lines(c.Server)
	if c.Server != "" && len(lines) == 0 {
		return fmt.Errorf("server %q is not on the list that this proxy holds: compare the id with the platform's", c.Server)
	}
	if len(lines) > 0 {
		stdio.println(strings.Join(lines, "\n"))
	}
	return nil
}

// printRefusals prints why requests of one tenant were refused.
func (c systemWhyCommand) printRefusals(stdio streams, status *admin.ProxyStatus) {
	lines := status.RefusalLines(c.Tenant)
	if len(lines) == 0 {
		lines = []string{fmt.Sprintf("tenant %s: this proxy has refused nothing for its quota since its start", c.Tenant)}
	}
	stdio.println(strings.Join(lines, "\n"))
}

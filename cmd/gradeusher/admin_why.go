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
	JSON   bool   `help:"Print the proxy's whole status as JSON." name:"json"`
}

// Run prints what the proxy's choice rests on. It fails where the proxy does not know the server.
func (c systemWhyCommand) Run(ctx context.Context, stdio streams) error {
	var client admin.Client
	p, err := client.ProxyStatus(ctx, c.Proxy)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdio.out).Encode(p)
	}
	fmt.Fprintf(stdio.out, "proxy %s: %s, %s, record %d, revision %d, evacuated zones: %s\n", p.Node, choose(p.Ready, "ready", "NOT ready"),
		choose(p.Fresh, "fresh", "NOT fresh"), p.Number, p.Revision, orNone(p.Evacuated))
	if p.ListAgeMS < 0 {
		fmt.Fprintln(stdio.out, "no list of servers has come")
	} else {
		fmt.Fprintf(stdio.out, "%d servers on a list that is %d ms old\n", p.Servers, p.ListAgeMS)
	}
	lines := p.Lines(c.Server)
	if c.Server != "" && len(lines) == 0 {
		return fmt.Errorf("server %q is not on the list that this proxy holds: compare the id with the platform's", c.Server)
	}
	if len(lines) > 0 {
		fmt.Fprintln(stdio.out, strings.Join(lines, "\n"))
	}
	return nil
}

func choose(is bool, yes, no string) string {
	if is {
		return yes
	}
	return no
}

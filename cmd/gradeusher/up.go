package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"gradeusher.example/gradeusher/internal/lab"
	"gradeusher.example/gradeusher/internal/lab/plan"
)

type upCommand struct {
	For      time.Duration `help:"How long it runs; at most an hour." default:"1h"`
	Servers  int           `help:"Stand-in servers." default:"6"`
	Sidecars int           `help:"Sidecars." default:"2"`
	Rate     float64       `help:"Requests a second in all." default:"40"`
	Seed     uint64        `help:"Draws servers and arrivals." default:"1"`
	JSON     bool          `help:"Print addresses, figures and the report as JSON, one object a line." name:"json"`
}

// Run starts a keeper and the fleet, prints a line a second, and ends it when the time is over or on an interrupt.
func (c upCommand) Run(ctx context.Context, stdio streams) error {
	if c.For < time.Second || c.For > time.Hour {
		return fmt.Errorf("%w: --for %v is not within 1s to 1h", errUsage, c.For)
	}
	f, err := plan.Parse("up.toml", fmt.Appendf(nil, "states = \"every request gets one final answer\"\nseconds = %v\n[fleet]\nservers = %d\nsidecars = %d\n[load]\nrate = %v\n[keepers]\ncount = 1\n",
		c.For.Seconds(), c.Servers, c.Sidecars, c.Rate))
	if err != nil {
		return err
	}
	var last lab.Second
	lines := json.NewEncoder(stdio.out)
	r, err := runExperiment(ctx, f, c.Seed, lab.Options{
		Up: func(f *lab.Fleet) {
			if c.JSON {
				_ = lines.Encode(map[string]any{"list": f.ListAddress(), "sidecars": f.Addresses(), "servers": f.ServerLines()}) // to a reader that has gone
				return
			}
			fmt.Fprintf(stdio.out, "list     http://%s/v1/servers\n", f.ListAddress())
			for _, line := range f.SidecarLines() {
				fmt.Fprintf(stdio.out, "sidecar  %s\n", line)
			}
			for _, line := range f.ServerLines() {
				fmt.Fprintf(stdio.out, "server   %s\n", line)
			}
		},
		Tick: func(n lab.Second) {
			if c.JSON {
				_ = lines.Encode(n)
				return
			}
			fmt.Fprintf(stdio.out, "%4.0fs  %4d requests/s  served %d  refused %d  failed %d  open %d\n", n.At.Seconds(), n.Requests-last.Requests,
				n.Served-last.Served, n.Refused-last.Refused, n.Failed-last.Failed, n.Open)
			last = n
		}})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := lines.Encode(r); err != nil {
			return err
		}
	} else {
		lab.Print(stdio.out, r)
	}
	for _, v := range r.Verdicts {
		if v.Name == "one-answer" && v.Broken > 0 {
			return errReported
		}
	}
	return nil
}

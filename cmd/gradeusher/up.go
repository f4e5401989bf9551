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

// Run starts a registry node and the fleet, prints a line a second, and ends it when the time is over or on an interrupt.
func (c upCommand) Run(ctx context.Context, stdio streams) error {
	if c.For < minUp || c.For > maxUp {
		return fmt.Errorf("%w: --for %v is not within 1s to 1h", errUsage, c.For)
	}
	file, err := c.experiment()
	if err != nil {
		return err
	}
	output := &upOutput{stdio: stdio, json: c.JSON, lines: json.NewEncoder(stdio.out)}
	result, err := runExperiment(ctx, file, c.Seed, lab.Options{Up: output.printFleet, Tick: output.printSecond})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := output.lines.Encode(result); err != nil {
			return err
		}
	} else {
		lab.Print(stdio.out, result)
	}
	for i := range result.Verdicts {
		if verdict := &result.Verdicts[i]; verdict.Name == "one-answer" && verdict.Broken > 0 {
			return errReported
		}
	}
	return nil
}

// experiment is the experiment that the flags describe: a fleet under load, without faults.
func (c upCommand) experiment() (*plan.File, error) {
	return plan.Parse("up.toml", fmt.Appendf(nil, "states = \"every request gets one final answer\"\nseconds = %v\n[fleet]\nservers = %d\nsidecars = %d\n[load]\nrate = %v\n[keepers]\ncount = 1\n",
		c.For.Seconds(), c.Servers, c.Sidecars, c.Rate))
}

// upOutput prints the fleet and its figures, as text or as JSON objects.
type upOutput struct {
	stdio streams
	json  bool
	lines *json.Encoder
	last  lab.Second // the figures of the second before, which counters are compared with
}

func (o *upOutput) printFleet(fleet *lab.Fleet) {
	if o.json {
		_ = o.lines.Encode(map[string]any{"list": fleet.ListAddress(), "sidecars": fleet.Addresses(), "servers": fleet.ServerLines()}) // to a reader that has gone
		return
	}
	o.stdio.printf("list     http://%s/v1/servers\n", fleet.ListAddress())
	for _, line := range fleet.SidecarLines() {
		o.stdio.printf("sidecar  %s\n", line)
	}
	for _, line := range fleet.ServerLines() {
		o.stdio.printf("server   %s\n", line)
	}
}

func (o *upOutput) printSecond(now lab.Second) {
	if o.json {
		_ = o.lines.Encode(now) // to a reader that has gone
		return
	}
	o.stdio.printf("%4.0fs  %4d requests/s  served %d  refused %d  failed %d  open %d\n", now.At.Seconds(), now.Requests-o.last.Requests,
		now.Served-o.last.Served, now.Refused-o.last.Refused, now.Failed-o.last.Failed, now.Open)
	o.last = now
}

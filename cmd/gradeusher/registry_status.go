package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/registry"
)

var errNoLeader = errors.New("no keeper leads")

type registryStatusCommand struct {
	registryFlags
	JSON bool `help:"Print as JSON." name:"json"`
}

// registryStatuses are what the registry's nodes answered, by address.
type registryStatuses struct {
	answered map[string]registry.Status
	failed   map[string]error
}

// Run prints a line for each registry node. It fails where none of them leads.
func (c registryStatusCommand) Run(ctx context.Context, stdio streams) error {
	return c.withClient(ctx, func(ctx context.Context, nodes *client.Client) error {
		var statuses registryStatuses
		statuses.answered, statuses.failed = client.Status[registry.Status](ctx, nodes)
		if c.JSON {
			if err := statuses.encode(stdio); err != nil {
				return err
			}
		} else {
			for _, address := range slices.Sorted(slices.Values(nodes.Addresses())) {
				statuses.printNode(stdio, address)
			}
		}
		if !statuses.hasLeader() {
			return errNoLeader
		}
		return nil
	})
}

func (s registryStatuses) hasLeader() bool {
	for _, status := range s.answered {
		if status.Role == "leader" {
			return true
		}
	}
	return false
}

func (s registryStatuses) encode(stdio streams) error {
	failed := map[string]string{}
	for address, err := range s.failed {
		failed[address] = err.Error()
	}
	return json.NewEncoder(stdio.out).Encode(map[string]any{"keepers": s.answered, "failed": failed})
}

func (s registryStatuses) printNode(stdio streams, address string) {
	status, ok := s.answered[address]
	if !ok {
		stdio.printf("%-21s no answer: %s\n", address, strings.ReplaceAll(s.failed[address].Error(), "\n", "; "))
		return
	}
	age := fmt.Sprintf("%d ms", status.AgeMS)
	if status.AgeMS < 0 {
		age = "unknown"
	}
	stdio.printf("%-21s %-10s %-9s leader %-10s term %-4d revision %-8d age %-9s watchers %-5d servers %-5d leases %d, %d held back\n",
		address, status.Name, status.Role, cmp.Or(status.Leader, "none"), status.Term, status.Revision, age, status.Watchers, status.Servers,
		status.Leases, status.PendingLeases)
}

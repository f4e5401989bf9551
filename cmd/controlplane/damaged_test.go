package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/settings"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// TestDamagedLogOfABootstrapNode damages the log of a node whose settings still have bootstrap = true. It guards against a node that,
// under its new identity, helps to form another first view besides the one for which it has voted.
func TestDamagedLogOfABootstrapNode(t *testing.T) {
	folder := t.TempDir()
	bubble.Test(t, func(t *testing.T) {
		config := &settings.Settings{IP: "127.0.0.1", Zone: "z", Region: "r", Ports: []int{1, 9}, Seeds: []string{"127.0.0.1:9"},
			Bootstrap: true, DataDir: folder}
		start := func() *node {
			restarted := &node{settings: config, log: discardLog()}
			if err := restarted.openChain(context.Background()); err != nil {
				t.Fatal(err)
			}
			return restarted
		}
		restarted := start()
		if _, err := restarted.chain.Submit(context.Background(), controlstate.Change{Op: controlstate.OpEvacuate, Zone: "a"}); err != nil {
			t.Fatal(err)
		}
		old := restarted.chain.View().Voters[0].ID
		restarted.chain.Stop()
		damageRegister(t, folder)

		start().chain.Stop()
		restarted = start() // another restart with the same settings
		defer func() { restarted.chain.Stop() }()
		time.Sleep(10 * time.Second) // of the bubble's clock
		if view := restarted.chain.View(); view.Epoch > 0 {
			t.Errorf("formed the view %v", view)
		}
		if state, _ := restarted.chain.Committed(); state.Seq > 0 {
			t.Errorf("serves record %d of a damaged log", state.Seq)
		}
		if _, ok := restarted.chain.View().Voter(old); ok {
			t.Error("the node still uses the old identity")
		}
		if copies, _ := filepath.Glob(filepath.Join(folder, "control", "damaged-*")); len(copies) == 0 {
			t.Error("the damaged log was not quarantined")
		}
	})
}

// damage changes a byte of the register.
func damageRegister(t *testing.T, folder string) {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(folder, "control", "meta-*"))
	if len(names) == 0 {
		t.Fatal("no register on disk")
	}
	name := names[len(names)-1]
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

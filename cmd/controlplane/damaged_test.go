package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/settings"
)

// TestDamagedLogOfABootstrapNode damages the log of a keeper that is still told to form the first view. Danger: under its
// new identity it helps to form another first view, beside the one that it has voted for.
func TestDamagedLogOfABootstrapNode(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		config := &settings.Settings{IP: "127.0.0.1", Zone: "z", Region: "r", Ports: []int{1, 9}, Seeds: []string{"127.0.0.1:9"},
			Bootstrap: true, DataDir: folder}
		start := func() *node {
			n := &node{settings: config, log: discardLog()}
			if err := n.openChain(context.Background()); err != nil {
				t.Fatal(err)
			}
			return n
		}
		n := start()
		if _, err := n.chain.Submit(context.Background(), controlstate.Change{Op: controlstate.OpEvacuate, Zone: "a"}); err != nil {
			t.Fatal(err)
		}
		old := n.chain.View().Voters[0].ID
		n.chain.Stop()
		damage(t, folder)

		start().chain.Stop()
		n = start() // a life later, and the settings are the same
		defer func() { n.chain.Stop() }()
		time.Sleep(10 * time.Second) // of the bubble's clock
		if view := n.chain.View(); view.Epoch > 0 {
			t.Errorf("formed %v", view)
		}
		if state, _ := n.chain.Committed(); state.Seq > 0 {
			t.Errorf("serves record %d of a damaged log", state.Seq)
		}
		if _, ok := n.chain.View().Voter(old); ok {
			t.Error("goes on under the old identity")
		}
		if copies, _ := filepath.Glob(filepath.Join(folder, "control", "damaged-*")); len(copies) == 0 {
			t.Error("nothing is put aside")
		}
	})
}

// damage changes a byte of the register.
func damage(t *testing.T, folder string) {
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

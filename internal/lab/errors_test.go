package lab

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/load"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// TestErrors pins the types and the texts of the errors that callers tell apart.
func TestErrors(t *testing.T) {
	t.Run("runs that cannot be compared", func(t *testing.T) {
		_, err := Compare(results("x", 1), nil)
		var counts *RunCountError
		if !errors.As(err, &counts) || err.Error() != "1 runs cannot be held against 0" {
			t.Errorf("%v", err)
		}
	})
	t.Run("unknown request", func(t *testing.T) {
		folder := t.TempDir()
		if err := writeRecords(filepath.Join(folder, "requests.jsonl"), []load.Attempt{{ID: "known"}}); err != nil {
			t.Fatal(err)
		}
		_, err := Trace(folder, "other")
		var unknown *UnknownRequestError
		if !errors.As(err, &unknown) || err.Error() != folder+": no request \"other\"" {
			t.Errorf("%v", err)
		}
	})
	t.Run("setting of the lab's own", func(t *testing.T) {
		file := plan.Defaults()
		file.Config = map[string]any{"listen": "127.0.0.1:1"}
		experiment := &plan.Plan{File: &file, Sidecars: []plan.Sidecar{{Name: "n0"}}}
		_, err := sidecarConfig(experiment, 0, &sidecarEnvironment{})
		var setting *SettingError
		if !errors.As(err, &setting) || err.Error() != "configuration of n0: the lab sets listen itself" {
			t.Errorf("%v", err)
		}
	})
	t.Run("stand-in that ends", func(t *testing.T) {
		starter := proc.NewStarter()
		defer starter.Close()
		spec := proc.Spec{Name: "list", Path: "/bin/true", Log: filepath.Join(t.TempDir(), "log"), Env: os.Environ()}
		_, err := startChild(starter, spec, func(ctl.Event) {})
		var start *StartError
		if !errors.As(err, &start) || err.Error() != "list did not start: see its log" {
			t.Errorf("%v", err)
		}
	})
}

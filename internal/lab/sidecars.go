package lab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/check"
	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/plan"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// sidecar is where the processes of one sidecar run, one after the other.
type sidecar struct {
	index       int
	reservation *link.PortReservation // its address
	folder      string

	mu      sync.Mutex
	process *proc.Process
	runs    []check.Run
	peak    check.Peak
	tasks   sync.WaitGroup // that end or start a process
}

func (s *sidecar) address() string { return s.reservation.Addr.String() }

// startSidecar starts a process of a sidecar, whose configuration has the list as it was at the start of the fleet.
func (f *Fleet) startSidecar(started *sidecar) error {
	name := f.plan.Sidecars[started.index].Name
	started.mu.Lock()
	defer started.mu.Unlock()
	seed := f.plan.Seed<<20 + uint64(started.index)<<8 + uint64(len(started.runs))
	environment := &sidecarEnvironment{listen: started.address(), seed: seed, known: f.known}
	if f.registry != nil {
		environment.registryAddresses = f.registryAddresses(started.index)
	} else {
		environment.discovery = f.listAddress(started.index)
	}
	if f.peers != nil {
		environment.members = f.peers.memberConfig(started.index)
	}
	text, err := sidecarConfig(f.plan, started.index, environment)
	if err != nil {
		return err
	}
	config := filepath.Join(f.work, name+".json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	args := []string{"sidecar"}
	if f.plan.File.Fleet.Program == plan.ProgramPlain {
		args = []string{"stand-in", "plain", "--flaw", f.plan.File.Fleet.Flaw}
	}
	tmp := started.folder
	if f.registry != nil && !f.plan.File.Registry.Cache || !f.plan.File.Fleet.Keep {
		tmp = ""
	}
	began := clock.Now()
	p, err := f.starter.Start(proc.Spec{Name: name, Path: f.self.Path, Args: args, Log: f.log(name), Folder: started.folder,
		Env: f.env("TMPDIR="+tmp, "PROXY_CONFIG="+config, "PROXY_NAME="+name, "PROXY_LISTEN="+started.address(), "PROXY_DISCOVERY="+environment.discovery)})
	if err != nil {
		return err
	}
	f.all.Add(p)
	started.process = p
	started.runs = append(started.runs, check.Run{From: began})
	return nil
}

// awaitReady waits until a sidecar answers. It fails with a *StartError where the process ends before, or after standInTimeout.
func (f *Fleet) awaitReady(ctx context.Context, s *sidecar) error {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	s.mu.Lock()
	run := s.process
	s.mu.Unlock()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address()+"/healthz", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close() // only the status counts
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-run.Ended():
			return &StartError{Process: run.Name, Failure: "ended as it started"}
		case <-ctx.Done():
			return &StartError{Process: run.Name, Failure: fmt.Sprintf("is not ready after %v", standInTimeout)}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Sample looks at what each sidecar's process holds and keeps the most.
func (f *Fleet) Sample() {
	for _, s := range f.sidecars {
		s.mu.Lock()
		if s.process == nil {
			s.mu.Unlock()
			continue // it has not joined
		}
		if v, err := s.process.Sample(); err == nil { // one that has ended holds nothing
			s.peak.MemoryMB, s.peak.Descriptors = max(s.peak.MemoryMB, v.MemoryMB), max(s.peak.Descriptors, v.Descriptors)
		}
		s.mu.Unlock()
	}
	if f.registry != nil {
		f.registry.sample()
	}
}

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
	index       int                   // in the plan
	reservation *link.PortReservation // of its address
	folder      string                // TMPDIR of its processes
	tasks       sync.WaitGroup        // steps that end a process

	mu      sync.Mutex
	process *proc.Process // the latest one; nil: it has not joined
	runs    []check.Run   // of all its processes
	peak    check.Peak    // of all its processes
}

// address is where clients reach the sidecar: IP address and port.
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
	if !f.keepsFiles() {
		tmp = ""
	}
	began := clock.Now()
	process, err := f.starter.Start(proc.Spec{Name: name, Path: f.self.Path, Args: args, Log: f.log(name), Folder: started.folder,
		Env: f.env("TMPDIR="+tmp, "PROXY_CONFIG="+config, "PROXY_NAME="+name, "PROXY_LISTEN="+started.address(), "PROXY_DISCOVERY="+environment.discovery)})
	if err != nil {
		return err
	}
	f.all.Add(process)
	started.process = process
	started.runs = append(started.runs, check.Run{From: began})
	return nil
}

// keepsFiles reports whether a sidecar's process finds the files of the one before it.
func (f *Fleet) keepsFiles() bool {
	withoutCache := f.registry != nil && !f.plan.File.Registry.Cache
	return f.plan.File.Fleet.Keep && !withoutCache
}

const readinessPollInterval = 10 * time.Millisecond

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
		case <-time.After(readinessPollInterval):
		}
	}
}

// Sample samples memory and descriptors of the processes of sidecars and registry nodes, whose peaks go to the evidence.
func (f *Fleet) Sample() {
	for _, s := range f.sidecars {
		s.sample()
	}
	if f.registry != nil {
		f.registry.sample()
	}
}

// sample samples the sidecar's process, if it has joined.
func (s *sidecar) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return
	}
	sampled, err := s.process.Sample()
	if err != nil {
		return // a process that has ended holds nothing
	}
	s.peak.MemoryMB = max(s.peak.MemoryMB, sampled.MemoryMB)
	s.peak.Descriptors = max(s.peak.Descriptors, sampled.Descriptors)
}

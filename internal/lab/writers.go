package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// writers are clients that write and read entries of their own, to see from outside whether registry nodes agree. The entries drain
// from the start, so that no sidecar sends there.
type writers struct {
	fleet   *Fleet
	clients []*client.Client // none: nothing is written
	values  atomic.Int64     // the value of the latest write; each write has another one

	mu      sync.Mutex
	records []ctl.RegistryCall
}

const (
	writeTimeout     = 3 * time.Second  // for one operation; then its outcome is unknown
	finalReadTimeout = 20 * time.Second // for the reads at the end
	readShare        = 0.4              // of the operations
)

// keyName is the UID of the key-th entry, from 0.
func keyName(key int) string { return fmt.Sprintf("w-%d", key) }

// keyEntry is the key-th entry with a value, which it has as its pod group.
func keyEntry(key, value int) list.Registration {
	return list.Registration{Target: list.Target{UID: keyName(key), Endpoint: "127.0.0.1:9", State: list.Serving, PodGroup: value, Zone: "writers"}}
}

// startWriters connects the clients and registers the entries, if the plan has any.
func (f *Fleet) startWriters(ctx context.Context) (*writers, error) {
	settings := f.plan.File.Registry
	started := &writers{fleet: f}
	if settings.Count == 0 || settings.WriteRate == 0 {
		return started, nil
	}
	for range settings.Writers {
		connected, err := client.New(f.registryAddresses(f.plan.NearWriter()))
		if err != nil {
			return nil, err
		}
		started.clients = append(started.clients, connected)
	}
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	first := started.clients[0]
	for key := range settings.Keys {
		if _, err := first.Register(ctx, []list.Registration{keyEntry(key, 0)}, nil); err != nil {
			return nil, err
		}
		if _, err := first.Change(ctx, client.Drain, keyName(key), nil); err != nil {
			return nil, err
		}
	}
	return started, nil
}

// run writes and reads until over is done, and reads each entry once more then, when faults are over, unless ctx is done too. start is
// the start of the load, in ns of the lab's clock.
func (w *writers) run(ctx, over context.Context, start int64) {
	var running sync.WaitGroup
	for index := range w.clients {
		running.Add(1)
		go func() {
			defer running.Done()
			w.newWriter(index).run(over, start)
		}()
	}
	running.Wait()
	if len(w.clients) > 0 {
		w.newWriter(0).readAll(ctx)
	}
	for _, connected := range w.clients {
		connected.Close()
	}
}

// record adds the record of an operation.
func (w *writers) record(call ctl.RegistryCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, call)
}

// writer is one client and what it knows of the entries. It does one operation at a time.
type writer struct {
	shared    *writers
	index     int // of the client
	client    *client.Client
	revisions []int64 // of each entry, as this client read or wrote it last; 0: not known
}

// newWriter returns a writer for a client, which knows no revision yet.
func (w *writers) newWriter(index int) *writer {
	return &writer{shared: w, index: index, client: w.clients[index], revisions: make([]int64, w.fleet.plan.File.Registry.Keys)}
}

// run makes this client's part of the operations, at times that are drawn (a Poisson process), until over is done.
func (w *writer) run(over context.Context, start int64) {
	experiment := w.shared.fleet.plan
	settings := experiment.File.Registry
	rng := rand.New(rand.NewPCG(experiment.Seed, uint64(w.index)))
	meanPause := float64(len(w.shared.clients)) / settings.WriteRate // seconds
	for at := rng.ExpFloat64() * meanPause; at < experiment.File.Seconds; at += rng.ExpFloat64() * meanPause {
		reads, key := rng.Float64() < readShare, rng.IntN(settings.Keys)
		if !waitUntil(over, start+int64(at*1e9)) {
			return
		}
		if reads || w.revisions[key] == 0 {
			w.read(over, key, writeTimeout)
		} else {
			w.write(over, key)
		}
	}
}

// readAll reads each entry once.
func (w *writer) readAll(ctx context.Context) {
	for key := range w.revisions {
		w.read(ctx, key, finalReadTimeout)
	}
}

// read reads an entry and records what came of it.
func (w *writer) read(ctx context.Context, key int, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := ctl.RegistryCall{Client: w.index, Key: key, Outcome: ctl.CallOK, Call: clock.Now()}
	entry, found, err := w.client.Server(ctx, keyName(key))
	call.Return, call.Rev, call.Value = clock.Now(), entry.Revision, entry.PodGroup
	switch {
	case err != nil:
		call.Outcome = ctl.CallNone // a read that was not answered did nothing
	case found:
		w.revisions[key] = entry.Revision
	}
	w.shared.record(call)
}

// write writes a new value to an entry, if that still has the revision that this client knows, and records what came of it.
func (w *writer) write(ctx context.Context, key int) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	call := ctl.RegistryCall{Client: w.index, Key: key, Write: true, Expect: w.revisions[key], Value: int(w.shared.values.Add(1)), Call: clock.Now()}
	result, err := w.client.Register(ctx, []list.Registration{keyEntry(key, call.Value)}, &call.Expect)
	call.Return, call.Rev, call.Outcome = clock.Now(), result.Revision, writeOutcome(err)
	switch call.Outcome {
	case ctl.CallOK:
		w.revisions[key] = result.Revision
	case ctl.CallUncertain, ctl.CallConflict:
		w.revisions[key] = 0 // the next operation reads it
	case ctl.CallNone:
	}
	w.shared.record(call)
}

// writeOutcome is the outcome of a conditional write that returned an error, or nil.
func writeOutcome(err error) ctl.CallOutcome {
	var refused *client.RefusedError
	switch {
	case err == nil:
		return ctl.CallOK
	case errors.Is(err, client.ErrUncertain):
		return ctl.CallUncertain
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		return ctl.CallConflict
	}
	return ctl.CallNone // no node accepted it
}

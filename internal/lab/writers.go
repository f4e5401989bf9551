package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	clients []*client.Client
	values  atomic.Int64
	mu      sync.Mutex
	records []ctl.RegistryCall
}

const (
	writeTimeout     = 3 * time.Second  // for one operation; then its outcome is unknown
	finalReadTimeout = 20 * time.Second // for the reads at the end
	readShare        = 0.4              // of the operations
)

func keyName(key int) string { return fmt.Sprintf("w-%d", key) }

func (w *writers) entry(key, value int) list.Registration {
	return list.Registration{Target: list.Target{UID: keyName(key), Endpoint: "127.0.0.1:9", State: list.Serving, PodGroup: value, Zone: "writers"}}
}

// startWriters makes the entries.
func (f *Fleet) startWriters(ctx context.Context) (*writers, error) {
	settings := f.plan.File.Registry
	w := &writers{fleet: f}
	if settings.Count == 0 || settings.WriteRate == 0 {
		return w, nil
	}
	for range settings.Writers {
		c, err := client.New(f.registryAddresses(f.plan.NearWriter()))
		if err != nil {
			return nil, err
		}
		w.clients = append(w.clients, c)
	}
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	for key := range settings.Keys {
		if _, err := w.clients[0].Register(ctx, []list.Registration{w.entry(key, 0)}, nil); err != nil {
			return nil, err
		}
		if _, err := w.clients[0].Change(ctx, client.Drain, keyName(key), nil); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// run writes and reads until over is done, and reads each entry once more then, when faults are over, unless ctx is done too.
func (w *writers) run(ctx, over context.Context, start int64) {
	p := w.fleet.plan
	settings := p.File.Registry
	var all sync.WaitGroup
	for index, writer := range w.clients {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(p.Seed, uint64(index)))
			revs := make([]int64, settings.Keys) // of the entries, as this client last read them
			pause := float64(len(w.clients)) / settings.WriteRate
			for at := r.ExpFloat64() * pause; at < p.File.Seconds; at += r.ExpFloat64() * pause {
				read, key := r.Float64() < readShare, r.IntN(settings.Keys)
				if !waitUntil(over, start+int64(at*1e9)) {
					return
				}
				if read || revs[key] == 0 {
					w.read(over, writer, index, key, writeTimeout, revs)
				} else {
					w.write(over, writer, index, key, revs)
				}
			}
		}()
	}
	all.Wait()
	for index, writer := range w.clients {
		if index == 0 {
			for key := range settings.Keys {
				w.read(ctx, writer, index, key, finalReadTimeout, make([]int64, settings.Keys))
			}
		}
		writer.Close()
	}
}

func (w *writers) record(v ctl.RegistryCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, v)
}

func (w *writers) read(ctx context.Context, reader *client.Client, index, key int, within time.Duration, revs []int64) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	record := ctl.RegistryCall{Client: index, Key: key, Outcome: ctl.CallOK, Call: clock.Now()}
	e, ok, err := reader.Server(ctx, keyName(key))
	record.Return, record.Rev, record.Value = clock.Now(), e.Revision, e.PodGroup
	if err != nil {
		record.Outcome = ctl.CallNone // a read that was not answered did nothing
	} else if ok {
		revs[key] = e.Revision
	}
	w.record(record)
}

func (w *writers) write(ctx context.Context, writer *client.Client, index, key int, revs []int64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record := ctl.RegistryCall{Client: index, Key: key, Write: true, Expect: revs[key], Value: int(w.values.Add(1)), Outcome: ctl.CallOK, Call: clock.Now()}
	d, err := writer.Register(ctx, []list.Registration{w.entry(key, record.Value)}, &record.Expect)
	record.Return, record.Rev = clock.Now(), d.Revision
	var refused *client.RefusedError
	switch {
	case err == nil:
		revs[key] = d.Revision
	case errors.Is(err, client.ErrUncertain):
		record.Outcome, revs[key] = ctl.CallUncertain, 0
	case errors.As(err, &refused) && refused.Status == 409:
		record.Outcome, revs[key] = ctl.CallConflict, 0
	default:
		record.Outcome = ctl.CallNone // no node accepted it
	}
	w.record(record)
}

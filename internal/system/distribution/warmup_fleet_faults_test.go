package distribution

import (
	"slices"
	"time"
)

// isolateFor partitions a machine from the others for a while; messages in transit are lost.
func (w *warmUpFleet) isolateFor(host string, d time.Duration) {
	w.isolatedUntil[host] = time.Now().Add(d)
	w.log("isolated ", host, " for ", d)
	w.recordFault(host)
	w.setPartitions(host, true)
	if s := w.sources[host]; s != nil {
		s.setStale(true)
	}
	w.faultCounts["isolated"]++
}

func (w *warmUpFleet) setPartitions(host string, cut bool) {
	for _, o := range append(slices.Clone(w.names), w.proxyNames...) {
		if o == host {
			continue
		}
		for _, from := range []string{host, host + ":2"} {
			for _, to := range []string{o, o + ":2"} {
				w.mesh.setPartitioned(from, to, cut)
				w.mesh.setPartitioned(to, from, cut)
			}
		}
	}
}

// recordFault records the time of a fault.
func (w *warmUpFleet) recordFault(host string) {
	if w.sources[host] != nil {
		host = ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFault[host] = time.Now()
}

// fault triggers a random fault.
func (w *warmUpFleet) fault() {
	w.endIsolations()
	isolatedNodes := 0
	for _, name := range w.names {
		if w.isIsolated(name) {
			isolatedNodes++
		}
	}
	chosen := w.names[w.rng.IntN(3)]
	node := w.proxyNames[w.rng.IntN(len(w.proxyNames))]
	span := time.Second + time.Duration(w.rng.IntN(5000))*time.Millisecond
	switch w.rng.IntN(faultPeriodSteps) {
	case 0:
		if isolatedNodes == 0 {
			w.isolateFor(chosen, span)
		}
	case 1, 2:
		if !w.isIsolated(node) {
			w.isolateFor(node, span)
		}
	case 3:
		if isolatedNodes == 0 {
			w.restartServer(chosen)
		}
	case 4:
		if !w.isIsolated(node) {
			w.restartProxy(node)
		}
	case 5:
		if isolatedNodes == 0 {
			w.notCurrentFor(chosen, span/3)
		}
	}
}

// endIsolations ends the isolations whose time is over.
func (w *warmUpFleet) endIsolations() {
	for host, end := range w.isolatedUntil {
		if !time.Now().After(end) {
			continue
		}
		delete(w.isolatedUntil, host)
		w.recordFault(host)
		w.setPartitions(host, false)
		if source := w.sources[host]; source != nil {
			source.setStale(false)
		}
	}
}

func (w *warmUpFleet) isIsolated(host string) bool {
	_, isolated := w.isolatedUntil[host]
	return isolated
}

func (w *warmUpFleet) restartServer(name string) {
	w.recordFault(name)
	w.polls[name]()
	w.killServer(name)
	w.startServer(name)
	w.poll(name)
	w.faultCounts["node restarted"]++
	w.log("restarted ", name)
}

func (w *warmUpFleet) restartProxy(node string) {
	w.recordFault(node)
	w.killProxy(node)
	w.startPickingProxy(node)
	w.faultCounts["proxy restarted"]++
	w.log("restarted ", node)
}

// notCurrentFor makes a node not current for a while although it reaches the others.
func (w *warmUpFleet) notCurrentFor(name string, span time.Duration) {
	w.sources[name].setStale(true)
	w.wg.Go(func() {
		time.Sleep(span)
		w.recordFault(name)
		w.sources[name].setStale(false)
	})
	w.faultCounts["not current"]++
	w.log("not current ", name, " for ", span)
}

package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// rig is a running deployment with its stand-ins.
type rig struct {
	rec      *record
	trouble  bool
	list     *platform
	fleet    *fleet
	operator *operator
	models   []*model
}

// layout is what a play asks for.
type layout struct {
	machines []machine
	graceS   float64
	config   string // the first configuration, of revision 1
}

// site names a machine's place.
type site struct{ zone, region string }

// machinesAt returns one machine at each site, with a disk on the first diskCount of them.
func machinesAt(prefix string, sites []site, diskCount int) (all []machine) {
	for i, at := range sites {
		number := string(rune('1' + i))
		all = append(all, machine{name: "m" + number, ip: prefix + ".1" + number, zone: at.zone, region: at.region, hasDisk: i < diskCount})
	}
	return all
}

// begin starts the platform's list; servers are added before deploy.
func (r *rig) begin(prefix string) (err error) {
	r.list, err = newPlatform(prefix + ".99")
	return err
}

// addModel starts a server and lists it.
func (r *rig) addModel(id, service, zone, ip string, slots, queue int) (*model, error) {
	created, err := newModel(r.rec, r.list, id, service, zone, ip, slots, queue)
	if err == nil {
		r.models = append(r.models, created)
	}
	return created, err
}

// deploy starts the system, sends the first configuration and waits until every proxy is ready.
func (r *rig) deploy(wanted layout) (err error) {
	if r.fleet, err = newFleet(r.rec, wanted.machines, r.list.address, wanted.graceS); err != nil {
		return err
	}
	if err := r.fleet.startAll(); err != nil {
		return err
	}
	r.operator = &operator{rec: r.rec, nodes: r.fleet.controlAddresses()}
	if _, err := r.operator.replace(0, []byte(wanted.config), 25*time.Second); err != nil {
		return err
	}
	for _, each := range wanted.machines {
		if each.joinsLater {
			continue
		}
		if !r.awaitReady(each, 15*time.Second) {
			return errors.New("the proxy of " + each.name + " does not become ready")
		}
	}
	time.Sleep(2500 * time.Millisecond) // the proxies know each other by then
	r.rec.printf("all proxies are ready")
	return nil
}

// awaitReady waits until the platform's check of a proxy answers 200.
func (r *rig) awaitReady(m machine, patience time.Duration) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.isReady(m) {
			return true
		}
	}
	return false
}

func (r *rig) isReady(m machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	check, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.fleet.address(m, readinessPort)+"/readiness", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(check)
	if err != nil {
		return false
	}
	return answer.Body.Close() == nil && answer.StatusCode == http.StatusOK
}

// end ends everything that the play started.
func (r *rig) end() {
	if r.fleet != nil {
		r.fleet.endAll()
	}
	for _, each := range r.models {
		_ = each.server.Close()
	}
	if r.list != nil {
		_ = r.list.server.Close()
	}
}

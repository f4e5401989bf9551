package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	seedsDownFor  = time.Second
	afterSeeds    = 5 * time.Second  // over contact_ms
	afterReplaced = 15 * time.Second // over catch_up_s and recovery_s
	successorIn   = time.Second      // x of replace_core
)

// lostSeedsMachines are the core, three machines that serve control without a disk, and the two that replace machines of the core.
func lostSeedsMachines(prefix string) []machine {
	zones := []site{{"hall-a", "cluj"}, {"hall-b", "cluj"}, {"hall-c", "iasi"}}
	all := machinesAt(prefix, append(append(append([]site{}, zones...), zones...), zones[:2]...), 3)
	for i := range all {
		all[i].observes = i >= 3 && i < 6
		all[i].joinsLater = i >= 6
		all[i].hasDisk = all[i].hasDisk || all[i].joinsLater
	}
	return all
}

// playLostSeeds: the three machines that the settings name as seeds are killed and started again; then two machines of the core are
// replaced, one after the other.
func playLostSeeds(r *rig) (broken []string, err error) {
	prefix := loopbackPrefix()
	all := lostSeedsMachines(prefix)
	core, observers, successors := all[:3], all[3:6], all[6:]
	if err := r.begin(prefix); err != nil {
		return nil, err
	}
	if err := r.deploy(layout{machines: all, graceS: 8, config: firstStartConfig}); err != nil {
		return nil, err
	}
	if err := r.fleet.nameSeeds(all[:6], observers); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		if err := r.killTogether(observers); err != nil {
			return nil, err
		}
	}
	time.Sleep(afterSeeds)
	if err := r.replaceCore(core[0], successors[0]); err != nil {
		return nil, err
	}
	r.operator.nodes = r.controlNodes(append(append([]machine{}, core[1:]...), append(observers, successors[0])...))
	second := strings.Replace(firstStartConfig, `"revision":1`, `"revision":2`, 1)
	if status, err := r.operator.replace(1, []byte(second), 5*time.Second); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("the second configuration was not taken: %d, %w", status, err)
	}
	if err := r.replaceCore(core[1], successors[1]); err != nil {
		return nil, err
	}
	r.operator.nodes = r.controlNodes(append(append([]machine{}, core[2]), append(observers, successors...)...))
	if r.canRead(readFor) {
		return nil, nil
	}
	third := strings.Replace(firstStartConfig, `"revision":1`, `"revision":3`, 1)
	_, thirdErr := r.operator.replace(2, []byte(third), 12*time.Second)
	if thirdErr == nil || r.canRead(readFor) {
		return nil, nil
	}
	return []string{fmt.Sprintf("CONFIG: the configuration does not come: version 2 was acknowledged, and none of %d nodes answers a read %v after the second successor's start; version 3 is not taken either",
		len(r.operator.nodes), afterReplaced+12*time.Second+2*readFor)}, nil
}

// killTogether kills the processes of machines at the same moment and starts them again.
func (r *rig) killTogether(machines []machine) error {
	for _, each := range machines {
		for _, role := range each.roles() {
			r.fleet.signal(each, role, syscall.SIGKILL)
		}
	}
	time.Sleep(seedsDownFor)
	for _, each := range machines {
		if err := r.fleet.startMachine(each, false); err != nil {
			return err
		}
	}
	r.rec.printf("the killed processes were started again")
	return nil
}

// replaceCore ends a machine of the core for good and starts an empty one at another address, then waits until that has had its time.
func (r *rig) replaceCore(gone, successor machine) error {
	r.rec.printf("%s is gone for good; %s comes in its place", gone.name, successor.name)
	for _, role := range gone.roles() {
		r.fleet.signal(gone, role, syscall.SIGKILL)
	}
	time.Sleep(successorIn)
	if err := r.fleet.startMachine(successor, false); err != nil {
		return err
	}
	time.Sleep(afterReplaced)
	return nil
}

// controlNodes returns the control_api addresses of machines.
func (r *rig) controlNodes(machines []machine) (all []string) {
	for _, each := range machines {
		all = append(all, r.fleet.address(each, controlPort))
	}
	return all
}

package testcluster

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/proc"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Machine is one edge machine of the test cluster: a loopback address.
type Machine struct {
	IP, Zone, Region string
	// HasDisk reports whether the machine has a disk. Its control-plane node is a voter then, and an observer otherwise.
	HasDisk bool
}

// Voters returns the machines with a disk, whose control-plane nodes are voters.
func Voters(machines []Machine) []Machine {
	var voters []Machine
	for _, m := range machines {
		if m.HasDisk {
			voters = append(voters, m)
		}
	}
	return voters
}

// Fleet is the system's processes: a proxy and a control-plane node on every machine. The exported fields are set before Start.
type Fleet struct {
	Machines     []Machine
	Ports        Ports
	Proxy        string // path of the proxy's program
	ControlPlane string // path of the control-plane node's program
	Folder       string // for settings, disks and logs of the processes
	ListAddress  string // address of the platform's list
	Bounds       rules.Bounds
	ListRate     float64 // calls a second that the list answers
	Links        *Links  // between the processes; nil: they call each other directly

	// listAddresses are addresses of the list by the name of the process that calls it there. A process that it lacks calls ListAddress.
	listAddresses map[string]string
	starter       *proc.Starter

	mu      sync.Mutex
	running map[string]*proc.Process // the process that was started last, by name
}

// Start starts all processes for the first time, on empty disks.
func (f *Fleet) Start() error {
	f.starter, f.running = proc.NewStarter(), map[string]*proc.Process{}
	for _, m := range f.Machines {
		if err := f.StartControlPlane(m, true); err != nil {
			return err
		}
		if err := f.StartProxy(m, true); err != nil {
			return err
		}
	}
	return nil
}

// StartControlPlane starts the control-plane node of a machine. first says that its disk is empty.
func (f *Fleet) StartControlPlane(m Machine, first bool) error {
	return f.start(processSpec{machine: m, name: ControlPlaneName(m), program: f.ControlPlane, serves: `["control"]`, first: first})
}

// StartProxy starts the proxy of a machine. first says that the machine's proxy has not run before.
func (f *Fleet) StartProxy(m Machine, first bool) error {
	return f.start(processSpec{machine: m, name: ProxyName(m), program: f.Proxy, serves: `["edge","directory"]`, first: first})
}

// processSpec is a process that is to be started.
type processSpec struct {
	machine Machine
	name    string
	program string
	serves  string // setting serves, a TOML array
	first   bool   // the process starts for the first time
}

func (f *Fleet) start(spec processSpec) error {
	disk := f.diskPath(spec.name)
	if err := os.MkdirAll(disk, 0o700); err != nil {
		return errors.Wrapf(err, "no folder for %s", spec.name)
	}
	settings, err := f.settings(spec)
	if err != nil {
		return errors.Wrapf(err, "no settings for %s", spec.name)
	}
	settingsPath := disk + ".toml"
	if err := os.WriteFile(settingsPath, settings, 0o600); err != nil {
		return errors.Wrapf(err, "no settings for %s", spec.name)
	}
	environment := []string{"GRADEUSHER_BOOT=" + settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TMPDIR=" + disk}
	process, err := f.starter.Start(proc.Spec{Name: spec.name, Path: spec.program, Args: []string{"run"}, Log: f.logPath(spec.name),
		Folder: disk, Env: environment})
	if err != nil {
		return errors.Wrapf(err, "%s does not start: check that %s is there", spec.name, spec.program)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[spec.name] = process
	return nil
}

func (f *Fleet) diskPath(name string) string { return filepath.Join(f.Folder, name) }

func (f *Fleet) logPath(name string) string { return f.diskPath(name) + ".log" }

// ControlPlaneProcess returns the control-plane node of a machine, or nil if it was not started.
func (f *Fleet) ControlPlaneProcess(m Machine) *proc.Process { return f.process(ControlPlaneName(m)) }

// ProxyProcess returns the proxy of a machine, or nil if it was not started.
func (f *Fleet) ProxyProcess(m Machine) *proc.Process { return f.process(ProxyName(m)) }

func (f *Fleet) process(name string) *proc.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name]
}

// processes returns the process that was started last under each name.
func (f *Fleet) processes() map[string]*proc.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.running)
}

// Died names the processes that ended without a signal of the test, with how they ended and where their logs are.
func (f *Fleet) Died() []string {
	var died []string
	for name, p := range f.processes() {
		select {
		case <-p.Ended():
			if e := p.Exit(); !e.Wanted {
				died = append(died, fmt.Sprintf("%s (%s, log %s)", name, e.How, p.Log))
			}
		default:
		}
	}
	return died
}

// Stop ends all processes by SIGTERM. It kills those that are still there after within, and returns their names.
func (f *Fleet) Stop(within time.Duration) (killed []string) {
	if f.starter == nil {
		return nil
	}
	for _, p := range f.processes() {
		_ = p.Signal(syscall.SIGTERM, true) // It fails only if the process has ended.
	}
	until := time.Now().Add(within)
	for name, p := range f.processes() {
		if !p.End(time.Until(until)) {
			killed = append(killed, name)
		}
	}
	f.starter.Close()
	f.starter = nil
	return killed
}

// Log returns the last lines of the log of a machine's control-plane node or proxy, for reports of failures.
func (f *Fleet) Log(m Machine, controlPlane bool, maxLines int) string {
	name := ProxyName(m)
	if controlPlane {
		name = ControlPlaneName(m)
	}
	text, err := os.ReadFile(f.logPath(name))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-maxLines):], "\n")
}

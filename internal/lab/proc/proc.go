// Package proc starts the processes of an experiment, ends each of them whatever happens, and does to them what faults say.
package proc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

// Starter starts processes that the kernel kills when the lab's own process is gone, however it ended. Danger: the kernel
// watches the thread that started them, so one thread starts all and lasts as long as the Starter.
type Starter struct {
	calls chan func()
	ended chan struct{}
	close sync.Once
}

// NewStarter begins; Close ends it, after all processes.
func NewStarter() *Starter {
	s := &Starter{calls: make(chan func()), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for call := range s.calls {
			call()
		}
	}()
	return s
}

// Close ends the thread. Processes that still run are killed with it.
func (s *Starter) Close() {
	s.close.Do(func() { close(s.calls) })
	<-s.ended
}

// Spec is a process to start.
type Spec struct {
	Name        string
	Path        string
	Args        []string
	Env         []string // all of it
	Log         string   // file that standard error is added to
	Piped       bool     // standard input and output are pipes to the lab
	Folder      string   // its TMPDIR
	OutlivesLab bool     // it outlives the lab, if only to clean up
}

// Exit is how a process ended.
type Exit struct {
	Name   string `json:"name"`
	At     int64  `json:"at"`
	Code   int    `json:"code"`   // below 0: a signal
	How    string `json:"how"`    // as the system words it
	Wanted bool   `json:"wanted"` // the lab or a fault ended it
}

// Process is one that was started.
type Process struct {
	Spec
	Started int64
	In      io.WriteCloser
	Out     io.ReadCloser

	cmd    *exec.Cmd
	ended  chan struct{}
	exit   Exit
	wanted atomic.Bool
}

// Start starts a process in a process group of its own, so that an interrupt at the terminal reaches the lab alone.
func (s *Starter) Start(spec Spec) (*Process, error) {
	log, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("%s: log: %w", spec.Name, err)
	}
	defer log.Close() // the process has its own
	process := &Process{Spec: spec, ended: make(chan struct{}), cmd: exec.Command(spec.Path, spec.Args...)}
	process.cmd.Env, process.cmd.Stderr = spec.Env, log
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if spec.OutlivesLab {
		process.cmd.SysProcAttr.Pdeathsig = 0
	}
	if spec.Piped {
		if process.In, err = process.cmd.StdinPipe(); err != nil {
			return nil, fmt.Errorf("%s: %w", spec.Name, err)
		}
		var out *os.File
		var in *os.File
		if in, out, err = os.Pipe(); err != nil {
			return nil, fmt.Errorf("%s: %w", spec.Name, err)
		}
		defer out.Close()
		process.cmd.Stdout, process.Out = out, in
	}
	done := make(chan error)
	s.calls <- func() { done <- process.cmd.Start() }
	if err := <-done; err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	process.Started = clock.Now()
	go func() {
		err := process.cmd.Wait()
		process.exit = Exit{Name: spec.Name, At: clock.Now(), Code: process.cmd.ProcessState.ExitCode(), How: process.cmd.ProcessState.String(), Wanted: process.wanted.Load()}
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			process.exit.How = err.Error()
		}
		close(process.ended)
	}()
	return process, nil
}

// Pid is the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Exit is how it ended, once Ended is closed.
func (p *Process) Exit() Exit { return p.exit }

// Signal sends a signal. wanted: the process may end by it.
func (p *Process) Signal(sig syscall.Signal, wanted bool) error {
	if wanted {
		p.wanted.Store(true)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}

// Terminate has it finish: by the end of its input or SIGTERM, and after a time by SIGKILL. It tells false where that was needed.
func (p *Process) Terminate(within time.Duration) bool {
	p.wanted.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // what fails because it has ended shows below
	if p.In != nil {
		p.In.Close()
	} else {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	select {
	case <-p.ended:
		return true
	case <-ctx.Done():
	}
	p.Kill()
	return false
}

// Kill ends it at once.
func (p *Process) Kill() {
	p.wanted.Store(true)
	_ = p.cmd.Process.Kill() // fails only where it has ended
	<-p.ended
}

// Sample is what a process holds now.
type Sample struct {
	At          int64   `json:"at"`
	MemoryMB    float64 `json:"memory_mb"` // resident
	Descriptors int     `json:"descriptors"`
	CPU         float64 `json:"cpu_s"` // of a core, since its start
}

// Sample looks at /proc; it fails where the process has ended.
func (p *Process) Sample() (Sample, error) {
	root := "/proc/" + strconv.Itoa(p.Pid())
	text, err := os.ReadFile(root + "/statm")
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return Sample{}, fmt.Errorf("%s: %q is no memory", p.Name, text)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	cpu, err := cpuSeconds(root + "/stat")
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	open, err := os.ReadDir(root + "/fd")
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	return Sample{clock.Now(), float64(pages*os.Getpagesize()) / (1 << 20), len(open), cpu}, nil
}

const ticksPerSecond = 100 // of /proc's times (USER_HZ), on all that Go runs on

// cpuSeconds reads the time that a process has had (proc(5), fields 14 and 15).
func cpuSeconds(path string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	// The name, in parentheses, may hold anything.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("%q has no times", text)
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond, err
}

// SetDiskState has the process's folder be full ("full"), only readable ("readonly"), or as it was ("").
func (p *Process) SetDiskState(mode string) error {
	maxFileBytes := uint64(unix.RLIM_INFINITY)
	if mode == "full" {
		// No file of the process can grow. A disk that is full says so with another word (ENOSPC, not EFBIG).
		maxFileBytes = 0
	}
	limit := unix.Rlimit{Cur: maxFileBytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: file size limit: %w", p.Name, err)
	}
	return SetReadOnly(p.Folder, mode == "readonly")
}

const immutableFlag = 0x10 // FS_IMMUTABLE_FL of linux/fs.h

// SetReadOnly has nothing be made, renamed or removed in a folder. Rights do not bind the superuser: for him the folder is
// marked immutable (chattr(1)), which not every file system knows.
func SetReadOnly(folder string, on bool) error {
	if os.Geteuid() != 0 {
		mode := os.FileMode(0o700)
		if on {
			mode = 0o500
		}
		return os.Chmod(folder, mode)
	}
	folderFile, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer folderFile.Close()
	flags, err := unix.IoctlGetInt(int(folderFile.Fd()), unix.FS_IOC_GETFLAGS)
	if err != nil {
		return fmt.Errorf("read-only folder: %w", err)
	}
	want := flags &^ immutableFlag
	if on {
		want |= immutableFlag
	}
	if want == flags {
		return nil
	}
	if err := unix.IoctlSetPointerInt(int(folderFile.Fd()), unix.FS_IOC_SETFLAGS, want); err != nil {
		return fmt.Errorf("read-only folder: %w", err)
	}
	return nil
}

// CanReadOnly tells why no folder under root can be made read-only; nil: it can.
func CanReadOnly(root string) error {
	probe := filepath.Join(root, "readonly")
	if err := os.Mkdir(probe, 0o700); err != nil {
		return err
	}
	if err := SetReadOnly(probe, true); err != nil {
		return errors.Join(err, os.Remove(probe))
	}
	return errors.Join(SetReadOnly(probe, false), os.Remove(probe))
}

// Group is the processes that run, so that every one of them can be ended.
type Group struct {
	mu        sync.Mutex
	processes []*Process
}

// Add takes a process in.
func (a *Group) Add(p *Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.processes = append(a.processes, p)
}

// Kill ends all at once.
func (a *Group) Kill() { a.Each((*Process).Kill) }

// Each calls do with each process that was started, ended or not.
func (a *Group) Each(do func(*Process)) {
	a.mu.Lock()
	all := append([]*Process(nil), a.processes...)
	a.mu.Unlock()
	for _, p := range all {
		do(p)
	}
}

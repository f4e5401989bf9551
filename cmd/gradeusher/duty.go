package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gradeusher.example/gradeusher/internal/client"
	"gradeusher.example/gradeusher/internal/duty"
	"gradeusher.example/gradeusher/internal/state"
)

type dutyCommands struct {
	List    dutyList    `cmd:"" help:"Print who holds what, under which epoch, and who waits."`
	Hold    dutyHold    `cmd:"" help:"Wait for a duty and run a command only while it is held."`
	Release dutyRelease `cmd:"" help:"Have the holder of a duty hand it to the next in line."`
	Move    dutyMove    `cmd:"" help:"Have the holder of a duty hand it to a process that waits for it."`
	Sweep   dutySweep   `cmd:"" help:"Be a candidate for the duty \"sweep\": in office, have keepers forget duties out of use."`
	Guard   dutyGuard   `cmd:"" hidden:"" help:"Run a command until the time that descriptor 3 tells."`
}

type dutyList struct {
	keepersFlag
	Name string `arg:"" optional:"" help:"Only this one."`
	JSON bool   `help:"Print as JSON." name:"json"`
}

// Run prints them, with every change that was acknowledged before.
func (c dutyList) Run(ctx context.Context, s streams) error {
	return c.call(ctx, func(ctx context.Context, k *client.Client) error {
		n, err := k.Duties(ctx, c.Name)
		if err != nil {
			return err
		}
		if c.Name != "" && len(n.Duties) == 0 {
			return fmt.Errorf("no duty %q", c.Name)
		}
		if c.JSON {
			return json.NewEncoder(s.out).Encode(n)
		}
		for _, d := range n.Duties {
			printDuty(s, d)
		}
		return nil
	})
}

func printDuty(s streams, d state.Duty) {
	held := "nobody"
	if h := d.Holder; h != nil {
		held = fmt.Sprintf("%s since %s, lease %v", h.Who, time.UnixMilli(d.SinceMS).UTC().Format(time.RFC3339), time.Duration(h.TTLMS)*time.Millisecond)
	}
	if d.Asked {
		held += ", asked to hand over to " + cmp.Or(d.To, "the next")
	}
	if d.Barred {
		held += ", out at the end of its lease"
	}
	fmt.Fprintf(s.out, "%-20s epoch %-4d step %-4d held by %s; %d wait\n", d.Name, d.Epoch, d.StepNo, held, len(d.Waiting))
	for _, f := range d.Failed {
		fmt.Fprintf(s.out, "%-20s %s failed %d times, passed over until %s\n", "", f.Name, f.Times, time.UnixMilli(f.UntilMS).UTC().Format(time.RFC3339))
	}
}

type dutyRelease struct {
	keepersFlag
	Name  string `arg:"" help:"The duty."`
	Force bool   `help:"For a holder that does not answer: its renewals are refused, and it is out when its lease ends."`
}

// Run asks the holder.
func (c dutyRelease) Run(ctx context.Context, s streams) error {
	return c.ask(ctx, s, c.Name, client.DutyCall{Force: c.Force})
}

type dutyMove struct {
	keepersFlag
	Name  string `arg:"" help:"The duty."`
	To    string `arg:"" help:"A process that waits for it: a name, or NAME#RUN."`
	Force bool   `help:"For a holder that does not answer: its renewals are refused, and it is out when its lease ends."`
}

// Run asks the holder.
func (c dutyMove) Run(ctx context.Context, s streams) error {
	return c.ask(ctx, s, c.Name, client.DutyCall{To: c.To, Force: c.Force})
}

// ask has a holder asked to hand over, and says what stands then.
func (f keepersFlag) ask(ctx context.Context, s streams, name string, q client.DutyCall) error {
	return f.call(ctx, func(ctx context.Context, k *client.Client) error {
		d, err := k.ChangeDuty(ctx, client.Move, name, q)
		if err == nil {
			printDuty(s, d.Duty)
		}
		return err
	})
}

type dutyHold struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	Name    string        `arg:"" help:"The duty."`
	Command []string      `arg:"" help:"What to run, after --. It gets GRADEUSHER_DUTY, GRADEUSHER_EPOCH and GRADEUSHER_STEP in its environment."`
	As      string        `help:"Name of this process among those that wait; the host's, if it is not given."`
	Room    string        `help:"Where this process runs."`
	At      string        `help:"The room where the duty should be held; the first who wants it says."`
	Load    int64         `help:"What this process carries besides, in duties."`
	Lease   time.Duration `help:"Length of the lease, 500ms to 5m." default:"5s"`
	Grace   time.Duration `help:"From TERM to KILL; 0: a quarter of the lease." default:"0"`
	Once    bool          `help:"End with exit 1 when the duty is lost or handed over; without it, wait for it again."`
}

type dutySweep struct {
	Keepers string        `help:"Addresses of keepers, with commas." env:"GRADEUSHER_KEEPERS" required:""`
	As      string        `help:"Name of this process among those that wait; the host's, if it is not given."`
	Lease   time.Duration `help:"Length of the lease, 500ms to 5m." default:"5s"`
	Every   time.Duration `help:"How often to look." default:"1m"`
	Idle    time.Duration `help:"A duty is out of use that nobody has held or waited for during this; 1s at least." default:"24h"`
}

// Run waits and sweeps until interrupted.
func (c dutySweep) Run(ctx context.Context, s streams) error {
	if c.Every <= 0 || c.Idle < state.LeastIdle {
		return fmt.Errorf("%w: --every has to be above 0, and --idle %v at least", errUsage, state.LeastIdle)
	}
	log := slog.New(slog.NewTextHandler(s.err, nil))
	name, err := processName(c.As)
	if err != nil {
		return err
	}
	r, err := duty.NewRunner(duty.Options{Keepers: strings.Split(c.Keepers, ","), Name: name, Lease: c.Lease, Log: log})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	k, err := client.New(strings.Split(c.Keepers, ","))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer k.Close()
	r.Want(duty.SweepDuty, "", duty.Sweep(k, c.Every, c.Idle, log))
	r.Run(ctx, c.Lease)
	return nil
}

// processName is the name that a process was given, or its host's.
func processName(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	host, err := os.Hostname()
	if err != nil {
		return "", fmt.Errorf("host name: %w", err)
	}
	return host, nil
}

// holds is what became of a command.
type holds struct{ code int }

// Run waits, runs the command while the duty is held, and ends with its exit code once it has ended by itself.
func (c dutyHold) Run(ctx context.Context, s streams) error {
	name, err := processName(c.As)
	if err != nil {
		return err
	}
	if c.Grace == 0 {
		c.Grace = c.Lease / 4
	}
	if most := (c.Lease - state.DutyMargin(c.Lease)) / 2; c.Grace < 0 || c.Grace > most {
		return fmt.Errorf("%w: --grace %v is not within 0 to %v, half of what the lease leaves", errUsage, c.Grace, most)
	}
	if _, err := exec.LookPath(c.Command[0]); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	r, err := duty.NewRunner(duty.Options{Keepers: strings.Split(c.Keepers, ","), Name: name, Room: c.Room, Lease: c.Lease, Load: c.Load, Log: slog.New(slog.NewTextHandler(s.err, nil))})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var h holds
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := r.Want(c.Name, c.At, func(work context.Context, t *duty.Tenure) error { return c.work(work, t, s, &h) })
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	r.Run(ctx, 2*c.Grace+time.Second)
	if h.code != 0 {
		return exitCode(h.code)
	}
	return nil
}

// work runs the command in an office, under a guard: a process that ends it in time though this one is stopped or killed.
func (c dutyHold) work(ctx context.Context, t *duty.Tenure, s streams, h *holds) error {
	h.code = exitBroken
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	from, to, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	defer to.Close()
	guard := exec.CommandContext(ctx, self, append([]string{"duty", "guard", "--grace", c.Grace.String(), "--"}, c.Command...)...)
	guard.Env = append(os.Environ(), "GRADEUSHER_DUTY="+t.Name, "GRADEUSHER_EPOCH="+strconv.FormatInt(t.Epoch, 10), "GRADEUSHER_STEP="+t.Step)
	guard.Env = append(guard.Env, selfEnv...)
	guard.Stdin, guard.Stdout, guard.Stderr, guard.ExtraFiles = s.in, s.out, s.err, []*os.File{from}
	guard.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // whoever stops this one from a terminal does not stop it
	err = guard.Start()
	from.Close()
	if err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- guard.Wait() }()
	tick := time.NewTicker(c.Lease / 16)
	defer tick.Stop()
	asked := t.Asked()
	for told := false; ; {
		if left := t.Left(); left > 0 {
			_, _ = fmt.Fprintf(to, "%d\n", int64(duty.Now()+left)) // a guard that is gone has ended
		}
		select {
		case <-ended:
			h.code = exitOf(guard.ProcessState)
			switch {
			case !told && t.May() && ctx.Err() == nil && h.code != exitGuarded && h.code == 0:
				return nil
			case !told && t.May() && ctx.Err() == nil && h.code != exitGuarded:
				return fmt.Errorf("%w: exit %d", duty.ErrGaveUp, h.code)
			case c.Once:
				h.code = exitBroken
				return nil
			}
			h.code = 0
			return duty.ErrAgain
		case <-asked:
			asked, told = nil, true
			_, _ = fmt.Fprintln(to, "end")
		case <-tick.C:
		}
	}
}

// exitGuarded is how a guard ends that has ended its command.
const exitGuarded = 124

// exitOf is the exit code of a process as a shell has it.
func exitOf(s *os.ProcessState) int {
	if w, ok := s.Sys().(syscall.WaitStatus); ok && w.Signaled() {
		return 128 + int(w.Signal())
	}
	return s.ExitCode()
}

type dutyGuard struct {
	Grace   time.Duration `help:"From TERM to KILL."`
	Command []string      `arg:"" help:"What to run."`
}

// Run runs the command once descriptor 3 has told until when, in ns of duty.Now, and ends it before the last time that it told, or
// when it tells to, or ends. Danger: the command is a group of its own; what leaves that group is not ended.
func (c dutyGuard) Run(ctx context.Context, s streams) error {
	control := os.NewFile(3, "control")
	if control == nil {
		return fmt.Errorf("%w: descriptor 3 is missing", errUsage)
	}
	syscall.CloseOnExec(3)
	lines := make(chan string)
	go func() { // until this process ends
		defer close(lines)
		for in := bufio.NewScanner(control); in.Scan(); {
			lines <- in.Text()
		}
	}()
	first, err := strconv.ParseInt(<-lines, 10, 64)
	until := time.Duration(first)
	if err != nil || duty.Now() >= until-c.Grace {
		return exitCode(exitGuarded)
	}
	command := exec.Command(c.Command[0], c.Command[1:]...)
	command.Stdin, command.Stdout, command.Stderr = s.in, s.out, s.err
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	signal := func(sig syscall.Signal) {
		_ = syscall.Kill(-command.Process.Pid, sig) // it may have ended
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // its state tells
		close(ended)
	}()
	var told bool
	var kill time.Duration
	term := func() {
		if !told {
			told, kill = true, duty.Now()+c.Grace
			signal(syscall.SIGTERM)
		}
	}
	for done := ctx.Done(); ; {
		wake := until - c.Grace
		if told {
			wake = min(kill, until)
		}
		timer := time.NewTimer(max(0, wake-duty.Now()))
		select {
		case <-ended:
			signal(syscall.SIGKILL) // what it left behind
			if told {
				return exitCode(exitGuarded)
			}
			return codeOf(command.ProcessState)
		case <-done:
			done = nil
			term()
		case line, on := <-lines:
			n, err := strconv.ParseInt(line, 10, 64)
			switch {
			case !on: // whoever renews is gone
				told, lines = true, nil
				signal(syscall.SIGKILL)
				kill = until
			case err != nil:
				term()
			default:
				until = max(until, time.Duration(n))
			}
		case <-timer.C:
			switch now := duty.Now(); {
			case now < wake:
			case told:
				signal(syscall.SIGKILL)
				<-ended
			default:
				term()
			}
		}
		timer.Stop()
	}
}

// codeOf ends this process as another did.
func codeOf(s *os.ProcessState) error {
	if code := exitOf(s); code != 0 {
		return exitCode(code)
	}
	return nil
}

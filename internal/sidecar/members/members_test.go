package members

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

func TestMain(m *testing.M) {
	if name := os.Getenv("MEMBER_NAME"); name != "" {
		child(name)
		return
	}
	goleak.VerifyTestMain(m)
}

// child is a member as a process of its own: it publishes again and again under the name in the environment, until its input ends.
func child(name string) {
	member, err := New(Options{Name: name, Listen: "127.0.0.1:0", Join: strings.Fields(os.Getenv("MEMBER_JOIN"))})
	if err == nil {
		err = member.Start(context.Background())
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(member.Address())
	go func() {
		for n := 0; ; n++ {
			_ = member.Publish(1, fmt.Appendf(nil, "%s %d", name, n))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	_, _ = os.Stdin.Read(make([]byte, 1))
	member.Close()
}

// peer is a member in this process, and what it was notified of.
type peer struct {
	*Members
	views   chan View
	updates chan Update
}

func start(t *testing.T, options Options) *peer {
	t.Helper()
	started := &peer{views: make(chan View, 4096), updates: make(chan Update, 4096)}
	options.OnView = func(v View) { started.views <- v }
	options.OnUpdate = func(n Update) {
		select {
		case started.updates <- n:
		default: // nobody looks
		}
	}
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	var err error
	if started.Members, err = New(options); err != nil {
		t.Fatal(err)
	}
	if err := started.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

// await returns the first value from a channel that fits.
func await[T any](t *testing.T, c <-chan T, what string, fits func(T) bool) T {
	t.Helper()
	timeout := time.After(15 * time.Second)
	for {
		select {
		case v := <-c:
			if fits(v) {
				return v
			}
		case <-timeout:
			t.Fatalf("not seen: %s", what)
		}
	}
}

// awaitSameView waits until all have the same view of so many.
func awaitSameView(t *testing.T, count int, peers ...*peer) {
	t.Helper()
	for epoch := uint64(0); ; {
		same := true
		for _, p := range peers {
			v := p.View()
			for v.Count != count || v.Epoch < epoch {
				await(t, p.views, fmt.Sprintf("%d members at %s", count, p.options.Name), func(v View) bool { return v.Count == count && v.Epoch >= epoch })
				v = p.View()
			}
			if v.Epoch > epoch {
				same, epoch = epoch == 0 && same, v.Epoch
			}
		}
		if same {
			return
		}
	}
}

// publishUntilReceived publishes a payload again and again, since it is dropped after its TTL, until a peer has received it.
func publishUntilReceived(t *testing.T, origin, receiver *peer, payload string) {
	t.Helper()
	again := time.NewTicker(origin.options.TTL / 2)
	defer again.Stop()
	for {
		select {
		case update := <-receiver.updates:
			if update.Origin == origin.options.Name && string(update.Payload) == payload {
				return
			}
		case <-again.C:
			if err := origin.Publish(2, []byte(payload)); err != nil {
				t.Fatal(err)
			}
		case <-t.Context().Done():
			t.Fatal("not received")
		}
	}
}

func TestMembersLearnOfEachOther(t *testing.T) {
	first := start(t, Options{Name: "a"})
	second := start(t, Options{Name: "b", Join: []string{first.Address()}})
	third := start(t, Options{Name: "c", Join: []string{second.Address()}})
	awaitSameView(t, 3, first, second, third)
	indexes := map[int]bool{}
	for _, p := range []*peer{first, second, third} {
		v := p.View()
		if v.Names[v.Index] != p.options.Name || v.Epoch != first.View().Epoch {
			t.Fatalf("%+v", v)
		}
		indexes[v.Index] = true
	}
	if len(indexes) != 3 {
		t.Fatal(indexes)
	}
	if err := first.Publish(2, []byte("word")); err != nil {
		t.Fatal(err)
	}
	for _, p := range []*peer{second, third} {
		n := await(t, p.updates, "the update", func(n Update) bool { return n.Origin == "a" && string(n.Payload) == "word" })
		if n.Kind != 2 || n.Start != first.start || n.Seq != 1 || n.Age > 2*time.Second {
			t.Fatalf("%+v", n)
		}
	}
	// A member that joins later receives the update too.
	later := start(t, Options{Name: "d", Join: []string{third.Address()}})
	publishUntilReceived(t, first, later, "word")

	before := first.View()
	second.Close()
	v := await(t, first.views, "the farewell", func(v View) bool { return !slices.Contains(v.Names, "b") })
	if v.Epoch <= before.Epoch {
		t.Fatal("the epoch did not rise")
	}
	awaitSameView(t, 3, first, third, later)
	var overKinds, overBytes *BoundsError
	if !errors.As(first.Publish(MaxKinds, nil), &overKinds) || !errors.As(first.Publish(0, make([]byte, MaxPayloadBytes+1)), &overBytes) {
		t.Fatal("over the bounds")
	}
}

// TestUpgradeIsOneMember: the old and the new process of an upgrade are one member, also at one address, and the old one's farewell does
// not remove the new one.
func TestUpgradeIsOneMember(t *testing.T) {
	other := start(t, Options{Name: "a"})
	old := start(t, Options{Name: "b", Join: []string{other.Address()}})
	awaitSameView(t, 2, other, old)
	before := other.View()
	next := start(t, Options{Name: "b", Listen: old.Address(), Join: []string{other.Address()}})
	if next.Address() != "" {
		t.Fatal("both listen")
	}
	old.Close()
	await(t, next.views, "the others", func(v View) bool { return v.Count == 2 })
	if err := next.Publish(0, []byte("new")); err != nil {
		t.Fatal(err)
	}
	await(t, other.updates, "the new one's update", func(n Update) bool { return n.Start == next.start })
	side := start(t, Options{Name: "b", Join: []string{other.Address()}}) // side by side
	if err := side.Publish(0, []byte("newer")); err != nil {
		t.Fatal(err)
	}
	await(t, other.updates, "the newer one's update", func(n Update) bool { return n.Start == side.start })
	next.Close()
	if v := other.View(); v.Count != 2 || v.Names[v.Index] != "a" {
		t.Fatalf("%+v then %+v", before, v)
	}
	for len(other.views) > 0 {
		if v := <-other.views; v.Count != 2 && v.Epoch > before.Epoch {
			t.Fatalf("%+v", v)
		}
	}
	// Without a successor, the farewell removes the member.
	side.Close()
	await(t, other.views, "that b is gone", func(v View) bool { return v.Count == 1 })
}

// TestReach: peers advertise an address where nobody listens, so that they are reached at Options.Reach only, also by acknowledgements.
func TestReach(t *testing.T) {
	a := start(t, Options{Name: "a", Listen: "127.0.0.2:0", Reach: "127.0.0.2", Advertise: "127.0.0.9:1"})
	_, port, _ := splitAddress(a.Address())
	a.Close()
	at := func(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }
	a = start(t, Options{Name: "a", Listen: at("127.0.0.2", port), Advertise: at("127.0.0.9", port), Reach: "127.0.0.2"})
	b := start(t, Options{Name: "b", Listen: "127.0.0.2:0", Advertise: "", Reach: "127.0.0.2", Join: []string{at("127.0.0.9", port)}})
	awaitSameView(t, 2, a, b)
	for len(b.views) > 0 {
		<-b.views
	}
	// Each has been probed and answered, or one would have taken the other for dead by now.
	for n := range 12 {
		if err := a.Publish(0, []byte{byte(n)}); err != nil {
			t.Fatal(err)
		}
		await(t, b.updates, "a number", func(m Update) bool { return m.Payload[0] == byte(n) })
		time.Sleep(probeInterval)
	}
	for len(b.views) > 0 {
		if v := <-b.views; v.Count != 2 {
			t.Fatalf("%+v", v)
		}
	}
}

// startProcess starts a member as a process and waits until it listens.
func startProcess(t *testing.T, name, join string) *exec.Cmd {
	t.Helper()
	// The test's own context ends before the cleanup, which lets the process leave by itself.
	command := exec.CommandContext(context.Background(), os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), "MEMBER_NAME="+name, "MEMBER_JOIN="+join)
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = in.Close()
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Wait()
	})
	var address string
	if _, err := fmt.Fscanln(out, &address); err != nil {
		t.Fatal(err)
	}
	return command
}

// TestStoppedProcessWakes: a process that is stopped leaves the views in time. When it continues it joins again, and none of its updates
// from before is accepted.
func TestStoppedProcessWakes(t *testing.T) {
	watcher := start(t, Options{Name: "a"})
	stoppable := startProcess(t, "b", watcher.Address())
	startProcess(t, "c", watcher.Address())
	var last uint64
	await(t, watcher.updates, "an update of c", func(n Update) bool { return n.Origin == "c" })
	await(t, watcher.updates, "an update of b", func(n Update) bool { last = n.Seq; return n.Origin == "b" && n.Seq > 5 })
	stopped := time.Now()
	if err := stoppable.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	await(t, watcher.views, "that b is gone", func(v View) bool { return v.Count == 2 && time.Since(stopped) > 100*time.Millisecond })
	if took := time.Since(stopped); took > 4*time.Second {
		t.Errorf("known after %v", took)
	}
	for len(watcher.updates) > 0 {
		if n := <-watcher.updates; n.Origin == "b" {
			last = max(last, n.Seq)
		}
	}
	time.Sleep(time.Until(stopped.Add(watcher.options.TTL + time.Second))) // until all updates from before have expired
	if err := stoppable.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	n := await(t, watcher.updates, "an update of b again", func(n Update) bool { return n.Origin == "b" })
	if n.Seq <= last || n.Age > watcher.options.TTL {
		t.Fatalf("%+v after %d", n, last)
	}
	await(t, watcher.views, "that b is back", func(v View) bool { return v.Count == 3 })
}

func TestBadOptions(t *testing.T) {
	good := Options{Name: "a", Listen: "127.0.0.1:0"}
	for want, change := range map[string]func(*Options){
		"name":      func(o *Options) { o.Name = "" },
		"listen":    func(o *Options) { o.Listen = "nowhere" },
		"advertise": func(o *Options) { o.Advertise = "a:1" },
		"join":      func(o *Options) { o.Join = []string{"x"} },
		"reach":     func(o *Options) { o.Reach = "x" },
		"bound":     func(o *Options) { o.TTL = -1 },
	} {
		o := good
		change(&o)
		var invalid *OptionError
		if _, err := New(o); !errors.As(err, &invalid) || invalid.Setting != want || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// packed returns the frames as pack concatenates them.
func packed(frames ...[]byte) []byte {
	b, _ := pack(frames)
	return b
}

// TestPackCountsWhatItLeavesOut checks the bound of a push-pull, and that what is beyond it is counted.
func TestPackCountsWhatItLeavesOut(t *testing.T) {
	frame := make([]byte, MaxPayloadBytes)
	fit := maxStateBytes / (2 + len(frame))
	for _, beyond := range []int{0, 1, 7} {
		b, leftOut := pack(slices.Repeat([][]byte{frame}, fit+beyond))
		if len(b) != fit*(2+len(frame)) || leftOut != beyond {
			t.Errorf("%d frames: %d bytes, %d left out, want %d", fit+beyond, len(b), leftOut, beyond)
		}
	}
	member, err := New(Options{Name: "n1", Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range fit + maxStateBytes/headerBytes {
		f := member.encodedState(fmt.Sprint("m", i))
		member.states.merge(f, member.clock())
	}
	if b := member.LocalState(false); len(b) > maxStateBytes || member.Counts().LeftOut == 0 {
		t.Errorf("%d bytes, %d left out", len(b), member.Counts().LeftOut)
	}
}

// encodedState returns a small state of another member, published now.
func (m *Members) encodedState(name string) frame {
	return frame{name: name, start: 1, seq: 1, publishedAt: m.clock(), payload: []byte("x")}
}

// TestListeningOutlivesErrors checks that a member goes on trying to listen after an error that is none of an address in use, and counts it.
func TestListeningOutlivesErrors(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const noAddressOfThisMachine = "192.0.2.1:0" // TEST-NET-1, RFC 5737: listening there fails at once
		member, err := New(Options{Name: "n1", Listen: noAddressOfThisMachine})
		if err != nil {
			t.Fatal(err)
		}
		member.ctx, member.cancel = context.WithCancel(t.Context())
		member.goroutines.Add(1)
		go member.runJoin(false)
		time.Sleep(10 * maxRetryDelay)
		if n := member.Counts().ListenErrors; n < 10 || n > 40 {
			t.Errorf("%d attempts in %v, want one each %v at least, and few", n, 10*maxRetryDelay, maxRetryDelay)
		}
		member.cancel()
		member.goroutines.Wait()
	})
}

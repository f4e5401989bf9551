package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// blob is a state that is replaced as a whole by each change with a body, as a configuration is.
type blob struct {
	seq  uint64
	body []byte
}

func (*blob) Check(controlstate.Change) controlstate.Verdict {
	return controlstate.Verdict{Kind: controlstate.Accept}
}

func (s *blob) Apply(r controlstate.Record) (State, error) {
	next := &blob{r.Seq, s.body}
	if len(r.Body) > 0 {
		next.body = r.Body
	}
	return next, nil
}

func (s *blob) Encode() []byte { return s.body }

type blobMachine struct{}

func (blobMachine) Empty() State                   { return &blob{} }
func (blobMachine) Decode(b []byte) (State, error) { return &blob{body: b}, nil }

func sized(bytes int) controlstate.Change {
	return controlstate.Change{Op: controlstate.OpReplace, Body: make([]byte, bytes)}
}

// inMemory is what the log of a core takes.
func inMemory(c *Core) int {
	n := 0
	for i := range c.log.entries {
		n += c.log.entries[i].size()
	}
	return n
}

// flow asks for a change of so many bytes at addr, 20 times a second, until the clock shows end.
func (cl *cluster) flow(addr string, end time.Duration, bytes int, each func()) {
	for next := cl.now; cl.now < end; {
		if cl.now >= next {
			cl.submit(addr, sized(bytes), 2*time.Second)
			next += 50 * time.Millisecond
		}
		cl.step()
		if each != nil {
			each()
		}
	}
}

// TestTheLogInMemoryIsBounded has hundreds of large changes acknowledged. Danger: the records that are kept for those who
// follow are counted and not weighed, and the process goes over its memory.
func TestTheLogInMemoryIsBounded(t *testing.T) {
	cl := newCluster(t)
	cl.machine = blobMachine{}
	formTrio(cl, 1, scriptedHooks{})
	const each = 256 << 10
	most := 0
	cl.flow("a", cl.now+20*time.Second, each, func() {
		for _, n := range cl.nodes {
			most = max(most, inMemory(n.core))
		}
	})
	if seq := cl.nodes["a"].core.committed; seq < 390 {
		t.Fatalf("%d changes were acknowledged", seq)
	}
	t.Logf("at most %.1f MB", float64(most)/(1<<20))
	if most > compactBytes+4<<20+8*each {
		t.Errorf("the log takes %.1f MB in memory", float64(most)/(1<<20))
	}
}

// TestTheLogOnDiskIsBounded lets writes take so long that new records wait at the end of each. Danger: the next append
// always goes before a snapshot, and the log grows until the load ends.
func TestTheLogOnDiskIsBounded(t *testing.T) {
	cl := newCluster(t)
	cl.machine = blobMachine{}
	for _, a := range []string{"a", "b", "c"} {
		cl.start(Config{
			Self: Member{Addr: a, Zone: "zone " + a, Region: "r"}, MachineLosses: 1, Seeds: []string{"a", "b", "c"}, Bootstrap: true,
			compactAfter: 50, keepBehind: 20,
		})
	}
	cl.until(5*time.Second, "the first view", func() bool { return cl.complete(3, 3) })
	cl.run(time.Second)
	most := 0
	for range 2000 { // a change each step: a write takes one
		cl.submit("a", noted("x"), 2*time.Second)
		cl.step()
		for _, n := range cl.nodes {
			most = max(most, len(n.disk.p.entries))
		}
	}
	t.Logf("at most %d records on disk", most)
	if most > 4*50 {
		t.Errorf("%d records on disk, a snapshot is due after 50", most)
	}
}

package replication

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/controlstate"
	"gradeusher.example/gradeusher/internal/system/replication/replicationpb"
)

// TestPartitionOf20Seconds cuts one replica of three off for 20 s, both ways or one, with all that was in flight delivered late, at
// the end. It is asked for reads and changes all the while, and changes go on at the others. Danger: it gives the past for
// new, refuses what it cannot judge, or takes long to be a replica again.
func TestPartitionOf20Seconds(t *testing.T) {
	directions := map[string]func(from, to, cut string) bool{
		"both ways": func(from, to, cut string) bool { return from == cut || to == cut },
		"from it":   func(from, _, cut string) bool { return from == cut },
		"to it":     func(_, to, cut string) bool { return to == cut },
	}
	var longest, longestCurrent time.Duration
	for name, stops := range directions {
		for link := range 3 {
			cluster := threeNodes(t, 1, TestingKnobs{})
			cut := cluster.replica(link)
			other := cluster.replica((link + 1) % 3)
			var late []Envelope
			cluster.filter = func(from, to string, m *replicationpb.Message) bool {
				if stops(from, to, cut) {
					late = append(late, Envelope{Addr: to, Msg: m})
					return false
				}
				return true
			}
			isolated, began, acked := cluster.nodes[cut], cluster.now, uint64(0)
			var change, read, here uint64
			for rev := int64(0); cluster.now-began < 20*time.Second; cluster.step() {
				if change == 0 || cluster.done[change].ID != 0 {
					if cluster.answered(change) {
						rev++
						acked = cluster.done[change].Seq
					}
					change = cluster.submit(other, replacing(rev, string(rune('a'+rev%26))+name), 4*time.Second)
				}
				if read == 0 || cluster.done[read].ID != 0 {
					read = cluster.read(cut, time.Second)
				}
				if here == 0 || cluster.done[here].ID != 0 {
					if d := cluster.done[here]; d.Outcome == Answered && d.Verdict.Kind != controlstate.Accepted && d.Verdict.Kind != controlstate.Stale {
						t.Fatalf("%s of %s: a change at it ended with %v", name, cut, d.Verdict)
					}
					here = cluster.submit(cut, replacing(isolated.core.chain.state.(*toy).rev, "at the cut one"), time.Second)
				}
				if cluster.now-began < 2*time.Second {
					continue
				}
				if d := cluster.done[read]; d.Outcome == Answered && d.Seq+1 < acked {
					t.Fatalf("%s of %s: a read gave record %d, %d was acknowledged", name, cut, d.Seq, acked)
				}
				if isolated.core.Current(cluster.clock(isolated)) && isolated.core.chain.commitIndex+1 < acked {
					t.Fatalf("%s of %s: it counts as current with record %d of %d", name, cut, isolated.core.chain.commitIndex, acked)
				}
			}
			if acked < 20 {
				t.Fatalf("%s of %s: %d changes were acknowledged at the others", name, cut, acked)
			}
			cluster.filter = nil
			for _, e := range late {
				cluster.deliver(e)
			}
			took := cluster.until(5*time.Second, name+" of "+cut+": three links", func() bool { return cluster.complete(3, 3) })
			longest = max(longest, took)
			longestCurrent = max(longestCurrent, took+cluster.until(5*time.Second, "it is current", func() bool {
				return isolated.core.Current(cluster.clock(isolated)) && isolated.core.chain.commitIndex >= acked
			}))
		}
	}
	t.Logf("a link again after %v at most, current after %v at most", longest, longestCurrent)
}

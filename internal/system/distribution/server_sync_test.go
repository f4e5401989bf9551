package distribution

import (
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution/distributionpb"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
	"gradeusher.example/gradeusher/internal/testsupport/bubble"
)

// newNamedServer returns a server that does not synchronise on its own.
func newNamedServer(name string) *Server {
	return NewServer(ServerOptions{Source: &fakeSource{fakeChain: newChain(), addresses: []string{"a", "b"}}, Self: name, Log: discardLogger()})
}

// manualSync makes synchronisation calls from one server to another explicitly.
type manualSync struct {
	from, to *Server
	progress syncProgress
}

// send builds a share request, waits as if it were in a buffer, delivers it, and handles the reply.
func (s *manualSync) send(tb testing.TB, held time.Duration) *distributionpb.ShareReply {
	tb.Helper()
	return s.sendOver(tb, transit{out: held})
}

// sendOver sends a share over a link that delays it and its reply.
func (s *manualSync) sendOver(tb testing.TB, l transit) *distributionpb.ShareReply {
	tb.Helper()
	req, number := s.from.buildShareRequest(&s.progress)
	time.Sleep(l.out)
	reply, err := s.to.Share(tb.Context(), req)
	if err != nil {
		tb.Fatal(err)
	}
	time.Sleep(l.back)
	s.progress.handleReply(time.Now(), req, number, reply)
	return reply
}

func listAge(server *Server) time.Duration {
	age := server.ListVersion().Age
	return age.Round(100 * time.Millisecond)
}

// TestTimeInBuffersCountsAsAge: an entry's age is its age when the message was sent plus the time in transit. A message that was delayed
// for long, or whose time of sending is unknown, is sent again.
func TestTimeInBuffersCountsAsAge(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		manual := &manualSync{from: newNamedServer("a"), to: newNamedServer("b")}
		manual.putList(t, 1, exactAge(time.Second), pick.Server{ID: "s"})
		time.Sleep(time.Second) // the list is 2 s old
		if !manual.send(t, 0).GetLate() || listAge(manual.to) < time.Hour {
			t.Error("a request without its time of sending was accepted")
		}
		manual.checkSend(t, "at once", 0, false, 2*time.Second)
		manual.putList(t, 2, softstate.Age{}, pick.Server{ID: "s"}, pick.Server{ID: "r"})
		manual.checkSend(t, "after a second in transit", time.Second, false, time.Second)
		manual.putList(t, 3, softstate.Age{})
		manual.checkSend(t, "after 20 s in transit", 20*time.Second, true, 21*time.Second)
		manual.checkSend(t, "sent anew", 0, false, 20*time.Second)
		if servers, _, _ := manual.to.List(); len(servers) != 0 {
			t.Errorf("the receiver has %d servers", len(servers))
		}
	})
}

// putList makes the sender read a list.
func (s *manualSync) putList(tb testing.TB, version uint64, age softstate.Age, servers ...pick.Server) {
	tb.Helper()
	putList(tb, s.from, 1, version, servers, age)
}

// checkSend sends a message with a delay, and checks whether it is rejected as late and how old the receiver's list is afterwards.
func (s *manualSync) checkSend(tb testing.TB, name string, delay time.Duration, wantLate bool, wantAge time.Duration) {
	tb.Helper()
	if s.send(tb, delay).GetLate() != wantLate || listAge(s.to) != wantAge {
		tb.Errorf("%s: the list is %v old", name, listAge(s.to))
	}
}

// TestTimeInBuffersControl: dated by its arrival, a share that was in a buffer for 20 s makes an old list look new.
func TestTimeInBuffersControl(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		manual := &manualSync{from: newNamedServer("a"), to: newNamedServer("b")}
		manual.to.options.knobs.DateByArrival = true
		putList(t, manual.from, 1, 1, []pick.Server{{ID: "s"}}, softstate.Age{})
		if manual.send(t, 20*time.Second); listAge(manual.to) != 0 {
			t.Errorf("control: the list is known to be %v old", listAge(manual.to))
		}
	})
}

// TestShareToAnotherIncarnation: a restarted node does not accept messages dated by its former incarnation's clock.
func TestShareToAnotherIncarnation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		manual := &manualSync{from: newNamedServer("a"), to: newNamedServer("b")}
		time.Sleep(time.Minute)
		manual.send(t, 0)
		manual.send(t, 0)
		manual.to = newNamedServer("b")
		if !manual.send(t, 0).GetLate() {
			t.Error("a request dated by a former incarnation's clock was accepted")
		}
		if manual.send(t, 0).GetLate() {
			t.Error("a request dated by this incarnation's clock was rejected")
		}
	})
}

// TestListOfOldFenceIsSuperseded: a node that was isolated for 20 s and continued to read the list under the fence of its view does not
// overwrite the list of the following view, however high its versions are.
func TestListOfOldFenceIsSuperseded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cutOff, next := newNamedServer("a"), newNamedServer("b")
		for version := uint64(1); version <= 40; version++ {
			time.Sleep(500 * time.Millisecond)
			putList(t, cutOff, 3, 900+version, []pick.Server{{ID: "s"}}, softstate.Age{})
			putList(t, next, 4, version, []pick.Server{{ID: "s", Draining: true}, {ID: "r"}}, softstate.Age{})
		}
		for _, manual := range []*manualSync{{from: cutOff, to: next}, {from: next, to: cutOff}} {
			manual.send(t, 0)
			manual.send(t, 0)
			if got, _, _ := manual.to.List(); len(got) != 2 || !got[1].Draining {
				t.Errorf("node %s has servers %+v", manual.to.options.Self, got)
			}
		}
		if cutOff.PutList(3, 2000, nil, boundsOf(softstate.Age{})) == nil {
			t.Error("a reading under the old fence is still accepted")
		}
	})
}

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// TestPeers has packets and streams go from one sidecar to another over a link, be lost where it holds or loses them, and come
// late where it delays; the link of a third is not touched.
func TestPeers(t *testing.T) {
	records := filepath.Join(t.TempDir(), "gossip")
	o, _ := startStandIn(t, func(in io.Reader, out io.Writer) error { return Peers(in, out, records) })
	place, err := link.Reserve(link.Near(7))
	if err != nil {
		t.Fatal(err)
	}
	defer place.Close()
	far, err := net.ListenPacket("udp4", place.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	streams, err := net.Listen("tcp4", place.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer streams.Close()
	port := o.give(ctl.Order{Do: "front", UID: "n7", Front: place.Addr.String()}).Ports[0]
	send := func(near int, text string) {
		c, err := net.Dial("udp4", netip.AddrPortFrom(link.Near(near), uint16(port)).String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	heard := func() string {
		t.Helper()
		buf := make([]byte, 100)
		if err := far.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, _, err := far.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		return string(buf[:n])
	}
	send(1, "a")
	if got := heard(); got != "a" {
		t.Errorf("heard %q", got)
	}
	for name, s := range map[string]link.State{"held": {Hold: [2]bool{link.ToFar: true}}, "lost": {Loss: 1}} {
		o.give(ctl.Order{Do: "link", UID: "n7", Nears: []int{1}, State: &s})
		send(1, name)
		send(2, "of another") // each packet goes through one reader, so the one before is lost by now
		if got := heard(); got != "of another" {
			t.Errorf("heard %q", got)
		}
	}
	// What it says is held, what it hears is not.
	o.give(ctl.Order{Do: "link", UID: "n7", Nears: []int{1}, State: &link.State{Hold: [2]bool{link.ToNear: true}, Delay: 50 * time.Millisecond}})
	began := time.Now()
	send(1, "late")
	if got := heard(); got != "late" || time.Since(began) < 50*time.Millisecond {
		t.Errorf("heard %q after %v", got, time.Since(began))
	}
	near, err := net.Dial("tcp4", netip.AddrPortFrom(link.Near(1), uint16(port)).String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	fmt.Fprintln(near, "hello")
	other, err := streams.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if line, err := bufio.NewReader(other).ReadString('\n'); line != "hello\n" {
		t.Errorf("read %q, %v", line, err)
	}
	fmt.Fprintln(other, "back")
	if err := near.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := near.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes cross a link that holds them, %v", n, err)
	}
	o.give(ctl.Order{Do: "link", UID: "n7", Nears: []int{1}, State: &link.State{}})
	if err := near.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(near).ReadString('\n'); line != "back\n" {
		t.Errorf("read %q, %v", line, err)
	}
}

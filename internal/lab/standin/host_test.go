package standin

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/lab/model"
)

// TestHost has a stand-in server answer, turn away, be revived on its port, and note what it saw.
func TestHost(t *testing.T) {
	records := filepath.Join(t.TempDir(), "attempts")
	o, _ := startStandIn(t, func(in io.Reader, out io.Writer) error { return Host(in, out, 1, records, nil, 0) })
	spec := testSpec()
	added := o.give(ctl.Order{Do: "add", Spec: &spec})
	client := &http.Transport{}
	t.Cleanup(client.CloseIdleConnections)
	ask := func(id string) (int, string, string) {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/api?work_ns=1000000", link.Near(3), added.Ports[0]), nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-ID", id)
		resp, err := client.RoundTrip(req)
		if err != nil {
			return 0, "", ""
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Error(err)
		}
		return resp.StatusCode, resp.Header.Get("X-Not-Processed"), string(text)
	}
	if status, _, body := ask("a"); status != 200 || body != Body("s1", "a") {
		t.Errorf("%d %q", status, body)
	}
	if status, _, _ := ask(""); status != 404 {
		t.Errorf("without an id: %d", status)
	}
	o.give(ctl.Order{Do: "drain", UID: "s1"})
	if status, notRun, _ := ask("b"); status != 503 || notRun != "1" {
		t.Errorf("while it drains: %d %q", status, notRun)
	}
	o.give(ctl.Order{Do: "die", UID: "s1"})
	if status, _, _ := ask("c"); status != 0 {
		t.Errorf("after its end: %d", status)
	}
	if n := o.give(ctl.Order{Do: "revive", UID: "s1"}); !slices.Equal(n.Ports, added.Ports) || n.BootMS == 0 {
		t.Errorf("revived as %+v", n)
	}
	if status, _, _ := ask("d"); status != 200 {
		t.Errorf("after its return: %d", status)
	}
	o.give(ctl.Order{Do: "remove", UID: "s1"}) // which waits until all is written down
	attempts, err := ctl.ReadRecords[ctl.Attempt](records)
	if err != nil {
		t.Fatal(err)
	}
	var seen []string
	for _, a := range attempts {
		seen = append(seen, a.ID+" "+a.How)
		if a.Near != 3 || a.First > a.Whole || a.Whole > a.End || a.End == 0 {
			t.Errorf("noted %+v", a)
		}
	}
	if !slices.Equal(seen, []string{"a served", "b turned", "d served"}) {
		t.Errorf("noted %v", seen)
	}
	if attempts[2].Boot <= attempts[0].Boot {
		t.Error("the process that returned is the old one")
	}
}

func testSpec() model.Spec {
	return model.Spec{UID: "s1", Cores: 3, Speed: 1, Slots: 3, Queue: 10, ThrashAt: 100, ColdFrom: 0.2, ColdFor: 10 * time.Second, FallMultiple: 3,
		FallFor: 1500 * time.Millisecond}
}

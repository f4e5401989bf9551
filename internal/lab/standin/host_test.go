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

func testSpec() model.Spec {
	return model.Spec{UID: "s1", Cores: 3, Speed: 1, Slots: 3, Queue: 10, ThrashAt: 100, ColdFrom: 0.2, ColdFor: 10 * time.Second, FallMultiple: 3,
		FallFor: 1500 * time.Millisecond}
}

// hostResponse is what a sidecar got from a stand-in server. The zero value is none.
type hostResponse struct {
	status       int
	notProcessed string // the header X-Not-Processed
	body         string
}

// hostClient is a sidecar's end of the calls to one stand-in server.
type hostClient struct {
	t         *testing.T
	transport *http.Transport
	near      int
	port      int
}

func newHostClient(t *testing.T, near, port int) *hostClient {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &hostClient{t: t, transport: transport, near: near, port: port}
}

// get sends a request with an id.
func (c *hostClient) get(id string) hostResponse {
	c.t.Helper()
	req := newRequest(c.t, fmt.Sprintf("http://%s:%d/api?work_ns=1000000", link.Near(c.near), c.port))
	req.Header.Set("X-Request-ID", id)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return hostResponse{}
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Error(err)
	}
	return hostResponse{resp.StatusCode, resp.Header.Get("X-Not-Processed"), string(text)}
}

// TestHost has a stand-in server answer, reject, be revived on its port, and record what it saw.
func TestHost(t *testing.T) {
	const near = 3
	records := filepath.Join(t.TempDir(), "attempts")
	host, _ := startStandIn(t, func(in io.Reader, out io.Writer) error { return Host(in, out, 1, records, nil, 0) })
	spec := testSpec()
	added := host.send(ctl.Order{Do: "add", Spec: &spec})
	client := newHostClient(t, near, added.Ports[0])
	if got := client.get("a"); got.status != http.StatusOK || got.body != Body("s1", "a") {
		t.Errorf("the response is %+v", got)
	}
	if got := client.get(""); got.status != http.StatusNotFound {
		t.Errorf("without an id the response is %+v", got)
	}
	host.send(ctl.Order{Do: "drain", UID: "s1"})
	if got := client.get("b"); got.status != http.StatusServiceUnavailable || got.notProcessed != "1" {
		t.Errorf("while the server drains the response is %+v", got)
	}
	host.send(ctl.Order{Do: "die", UID: "s1"})
	if got := client.get("c"); got.status != 0 {
		t.Errorf("after the process ended the response is %+v", got)
	}
	if event := host.send(ctl.Order{Do: "revive", UID: "s1"}); !slices.Equal(event.Ports, added.Ports) || event.BootMS == 0 {
		t.Errorf("revived as %+v", event)
	}
	if got := client.get("d"); got.status != http.StatusOK {
		t.Errorf("after the revival the response is %+v", got)
	}
	host.send(ctl.Order{Do: "remove", UID: "s1"}) // which waits until all is recorded
	checkAttempts(t, records, near)
}

// checkAttempts checks the records of TestHost.
func checkAttempts(t *testing.T, records string, near int) {
	t.Helper()
	attempts, err := ctl.ReadRecords[ctl.Attempt](records)
	if err != nil {
		t.Fatal(err)
	}
	var outcomes []string
	for _, attempt := range attempts {
		outcomes = append(outcomes, attempt.ID+" "+string(attempt.Outcome))
		inOrder := attempt.First <= attempt.Received && attempt.Received <= attempt.End
		if attempt.Near != near || !inOrder || attempt.End == 0 {
			t.Errorf("the attempt is recorded as %+v", attempt)
		}
	}
	if !slices.Equal(outcomes, []string{"a served", "b turned", "d served"}) {
		t.Fatalf("the records are %v", outcomes)
	}
	if attempts[2].Boot <= attempts[0].Boot {
		t.Error("the process that was revived is the old one")
	}
}

package load

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/lab/plan"
)

// TestRoundTrip pins the bytes of requests, and what responses are taken for.
func TestRoundTrip(t *testing.T) {
	safe, unsafe := plan.Class{Name: "fetch", Safe: true}, plan.Class{Name: "submit"}
	for _, test := range []struct {
		name     string
		request  apiRequest
		sent     string
		response string
		want     apiResponse
	}{
		{"served", apiRequest{id: "0001", class: safe, work: 78 * time.Millisecond, timeout: 1500 * time.Millisecond},
			"GET /api?class=fetch&work_ns=78000000 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: 0001\r\nX-Priority-Class: fetch\r\nX-Timeout-Ms: 1500\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nrecorded 0001 by s1\n", apiResponse{status: 200, servedBy: "s1"}},
		{"served by no server", apiRequest{id: "0002", class: safe, retry: true, client: "t9"},
			"GET /api?class=fetch&work_ns=0 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: 0002\r\nX-Priority-Class: fetch\r\nX-Timeout-Ms: 0\r\n" +
				"X-Retried: 1\r\nX-Tenant-Id: t9\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nrecorded 0001 by s1\n", apiResponse{status: 200, servedBy: "?"}},
		{"refused", apiRequest{id: "0003", class: unsafe},
			"POST /api?class=submit&work_ns=0 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: 0003\r\nX-Priority-Class: submit\r\nX-Timeout-Ms: 0\r\n" +
				"Content-Length: 13\r\n\r\npresent 0003\n",
			"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			apiResponse{status: 503, retryAfter: 250 * time.Millisecond, closeConn: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, server := net.Pipe()
			sent := make(chan string, 1)
			go func() {
				head := make([]byte, 4096)
				n, _ := server.Read(head) // what is missing shows in the comparison
				sent <- string(head[:n])
				_, _ = server.Write([]byte(test.response))
				_ = server.Close()
			}()
			conn := &clientConn{Conn: client, reader: bufio.NewReader(client)}
			at, response, err := conn.roundTrip(test.request, time.Now().Add(time.Minute))
			if err != nil || at == 0 || response != test.want {
				t.Errorf("%+v at %d, %v, want %+v", response, at, err, test.want)
			}
			if got := <-sent; got != test.sent {
				t.Errorf("sent %q, want %q", got, test.sent)
			}
			if err := client.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

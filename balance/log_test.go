package balance

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestLogLinesAreDocumented checks that docs/oncall.md shows the lines that the package logs.
func TestLogLinesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	b, recorder := start(t, settings(), twoEndpoints())
	for i := range RequestID(8) {
		if to := sendRequest(b, recorder, i); to != "" {
			b.Result(recorder.now, Result{ID: i, Endpoint: to, Outcome: Errored, Latency: time.Millisecond, Finished: true})
		}
	}
	if len(recorder.logs) == 0 {
		t.Fatal("no log line although endpoints failed")
	}
	for _, line := range recorder.logs {
		for _, e := range b.endpoints {
			line = strings.ReplaceAll(line, " "+e.ID, " 10.0.0.1:8080")
		}
		if !strings.Contains(string(page), "    "+line+"\n") {
			t.Errorf("docs/oncall.md does not show the line %q", line)
		}
	}
}

package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// stateChain decides on changes by a control state.
type stateChain struct {
	mu    sync.Mutex
	state *controlstate.State
}

func (c *stateChain) Submit(_ context.Context, change controlstate.Change) (controlstate.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.state.Check(change)
	if verdict.Kind != controlstate.Accepted {
		return verdict, nil
	}
	next, err := c.state.Apply(change.Record(verdict.Seq))
	if err == nil {
		c.state = next
	}
	return verdict, err
}

func (c *stateChain) Read(context.Context) (*controlstate.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, nil
}

// TestAcknowledgedRevisionIsLogged checks that the log line of an acknowledged change has its revision, which cannot be derived from its
// base since versions rise in uneven steps.
func TestAcknowledgedRevisionIsLogged(t *testing.T) {
	entries := memory.New()
	handler := Handler(Options{Chain: &stateChain{state: controlstate.Empty()}, Log: &log.Logger{Handler: entries, Level: log.DebugLevel}})
	serve(t, handler, http.MethodPost, "/Config.Replace", `{"revision":7,"routes":[],"services":[]}`, "X-Base-Version", "0")
	if len(entries.Entries) != 1 {
		t.Fatalf("%d log entries", len(entries.Entries))
	}
	if got := entries.Entries[0]; got.Message != "operatorapi: change acknowledged" || got.Fields.Get("revision") != 7 {
		t.Errorf("%s %v", got.Message, got.Fields)
	}
}

// TestKeysAreNotLogged checks that neither the log nor the response to a change contains an API key of its body, whether the change is
// accepted or not.
func TestKeysAreNotLogged(t *testing.T) {
	const key = "92cqf75rjvz48wuakn2f"
	tenants := `[{"name":"a","api_keys":["` + key + `"]}]`
	changes := []struct {
		path, base, body string
		status           int
	}{
		{"/Config.Replace", "0", `{"revision":1,"routes":[],"services":[],"tenants":[{"name":"a","api_keys":["` + key + `"}]}`, http.StatusBadRequest},
		{"/Config.Replace", "0", `{"revision":1,"routes":[],"services":[],"tenants":` + tenants + `}`, http.StatusOK},
		{"/Config.Amend", "1", `{"revision":2,"upsert":{"tenants":[{"name":"b","api_keys":["` + key + `"]}]}}`, http.StatusBadRequest},
		{"/Config.Amend", "1", `{"revision":2,"upsert":{"tenants":[{"name":"b","api_keys":{"` + key + `":1,"` + key + `":1}}]}}`, http.StatusBadRequest},
		{"/Config.Amend", "1", `{"revision":2,"remove":{"tenants":` + tenants + `}}`, http.StatusBadRequest},
		{"/Config.Amend", "7", `{"revision":2,"upsert":{"tenants":` + tenants + `}}`, http.StatusPreconditionFailed},
	}
	entries := memory.New()
	chain := &stateChain{state: controlstate.Empty()}
	handler := Handler(Options{Chain: chain, Log: &log.Logger{Handler: entries, Level: log.DebugLevel}})
	for _, change := range changes {
		w := serve(t, handler, http.MethodPost, change.path, change.body, "X-Base-Version", change.base)
		if w.Code != change.status {
			t.Errorf("%s: status %d, want %d: %s", change.body, w.Code, change.status, w.Body)
		}
		if strings.Contains(w.Body.String(), key) {
			t.Errorf("%s: the response contains the key: %s", change.body, w.Body)
		}
	}
	if len(entries.Entries) < len(changes) {
		t.Errorf("%d log entries for %d changes", len(entries.Entries), len(changes))
	}
	for _, entry := range entries.Entries {
		if text := fmt.Sprint(entry.Message, entry.Fields); strings.Contains(text, key) {
			t.Errorf("the log contains the key: %s", text)
		}
	}
}

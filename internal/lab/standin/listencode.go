package standin

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
)

// snapshot is the list as it was at a revision; servers that came later are left out, and those that are gone.
func (l *platformList) snapshot(near int, rev int64) ([]byte, []ctl.Entry) {
	at := l.entries
	if rev < l.revision() {
		at = map[string]ctl.Entry{}
		for i := range l.changes {
			if l.firstRevision+int64(i) <= rev {
				at[l.changes[i].entry.UID] = l.changes[i].entry
			}
		}
	}
	var entries []ctl.Entry
	for _, uid := range l.order {
		if e, ok := at[uid]; ok && e.State != "DELETED" {
			entries = append(entries, e)
		}
	}
	return l.encode(near, rev, true, entries), entries
}

func (l *platformList) encode(near int, rev int64, all bool, entries []ctl.Entry) []byte {
	return EncodeList(near, l.groups[near], rev, all, entries)
}

// EncodeList is a list in discovery's form, for one sidecar of some group.
func EncodeList(near, group int, rev int64, all bool, entries []ctl.Entry) []byte {
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Kind     string  `json:"model"`
		Group    int     `json:"pod_group"`
		State    string  `json:"state"`
		Capacity float64 `json:"capacity_hint"`
		BootMS   int64   `json:"boot_ms"`
	}
	targets := make([]target, len(entries))
	for i, e := range entries {
		targets[i] = target{UID: e.UID, Zone: e.Zone, Kind: e.Kind, State: e.State, Capacity: e.Size, BootMS: e.BootMS}
		if group < len(e.Ports) {
			targets[i].Endpoint = fmt.Sprintf("%s:%d", link.Near(near), e.Ports[group])
		}
	}
	text, err := json.Marshal(struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{rev, all, targets})
	if err != nil {
		return nil // none of these fields can fail
	}
	return text
}

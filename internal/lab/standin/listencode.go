package standin

import (
	"encoding/json"
	"fmt"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/link"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// snapshot is the list as it was at a revision, without servers that came later or that are deleted, and its entries. The caller
// holds l.mu.
func (l *platformList) snapshot(near int, revision int64) ([]byte, []ctl.Entry) {
	at := l.entries
	if revision < l.revision() {
		at = l.entriesAt(revision)
	}
	var entries []ctl.Entry
	for _, uid := range l.order {
		if entry, ok := at[uid]; ok && entry.State != string(list.Deleted) {
			entries = append(entries, entry)
		}
	}
	return l.encode(near, revision, true, entries), entries
}

// entriesAt replays the changes up to a revision. The caller holds l.mu.
func (l *platformList) entriesAt(revision int64) map[string]ctl.Entry {
	entries := map[string]ctl.Entry{}
	for i, applied := range l.changes {
		if l.firstRevision+int64(i) <= revision {
			entries[applied.entry.UID] = applied.entry
		}
	}
	return entries
}

// encode encodes entries for a sidecar.
func (l *platformList) encode(near int, revision int64, complete bool, entries []ctl.Entry) []byte {
	return EncodeList(near, l.groups[near], revision, complete, entries)
}

// EncodeList encodes a list, or the changes since a revision where it is not complete, in discovery's form, for the sidecar near
// of a group: endpoints have the address at which that sidecar calls and the port for its group. Entries without such a port
// have no endpoint.
func EncodeList(near, group int, revision int64, complete bool, entries []ctl.Entry) []byte {
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
	for i, entry := range entries {
		targets[i] = target{UID: entry.UID, Zone: entry.Zone, Kind: entry.Kind, State: entry.State, Capacity: entry.Size, BootMS: entry.BootMS}
		if group < len(entry.Ports) {
			targets[i].Endpoint = fmt.Sprintf("%s:%d", link.Near(near), entry.Ports[group])
		}
	}
	text, err := json.Marshal(struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{revision, complete, targets})
	if err != nil {
		return nil // cannot happen: every field can be encoded
	}
	return text
}

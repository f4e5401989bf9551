package standin

import (
	"encoding/json"

	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// noteRoutes notes a line that a keeper wrote of its route table.
func (r *relay) noteRoutes(s ctl.RouteUpdate, line []byte, at int64) {
	if len(line) == 0 || json.Unmarshal(line, &s) != nil {
		return // it says nothing
	}
	s.Bytes, s.At = len(line)+1, at
	r.routes.Add(s)
}

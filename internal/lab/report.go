package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Print writes a result for a person: figures, what did not hold, and last how much held.
func Print(w io.Writer, r *Result) {
	fmt.Fprintf(w, "%s: %s\n", r.Name, r.States)
	fmt.Fprintf(w, "seed %d, %d sidecars, %d servers, %.0f requests/s for %.0f s; arrivals %s, faults %s\n", r.Seed, r.Sidecars, r.Servers, r.Rate,
		r.Seconds, r.ArrivalsHash, r.StepsHash)
	f := r.Figures
	fmt.Fprintf(w, "served %.4f of the worth (worst 10 s %.4f, worst class %.4f), service %.4f; refused %.4f, failed %.4f of requests\n", f["served"],
		f["served_worst_10s"], f["served_worst_class"], f["service"], f["refused"], f["failed"])
	fmt.Fprintf(w, "latency p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; %.3f attempts and %.4f new connections a request; the lab's lateness p99 %.2f ms\n",
		f["p50_ms"], f["p99_ms"], f["p999_ms"], f["attempts"], f["connections"], f["lateness_p99_ms"])
	var more []string // of those that were measured
	for _, name := range []string{"spread", "spread_worst10", "spread_rise", "churn", "refused_before", "refused_after", "refused_back_s", "members_packets", "members_bytes"} {
		if v, ok := f[name]; ok {
			more = append(more, fmt.Sprintf("%s %.4g", name, v))
		}
	}
	if len(more) > 0 {
		fmt.Fprintf(w, "over the fleet: %s\n", strings.Join(more, ", "))
	}
	if f["watches"] > 0 {
		fmt.Fprintf(w, "keepers: %.0f writes and %.0f uncertain ones, p99 %.1f ms, longest gap %.0f ms, after a kill p50 %.0f ms and %.0f ms at most; last reader told after p50 %.1f ms, p99 %.1f ms; %.0f watches, %.0f whole lists; at most %.0f MB and %.3f cores a keeper\n",
			f["writes"], f["writes_uncertain"], f["write_p99_ms"], f["write_gap_ms"], f["failover_p50_ms"], f["failover_most_ms"], f["told_p50_ms"], f["told_p99_ms"], f["watches"], f["watches_whole"],
			f["keeper_mb"], f["keeper_cores"])
	}
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			fmt.Fprintf(w, "broken: %s, %d times: %s\n", v.Name, v.Broken, strings.Join(v.Detail, "; "))
		}
	}
	if names := r.NotSeen(); len(names) > 0 {
		fmt.Fprintf(w, "not seen, for there was nothing to look at: %s\n", strings.Join(names, ", "))
	}
	if r.BrokenOff {
		fmt.Fprintln(w, "broken off before its end")
	}
	held, of := r.Held()
	fmt.Fprintf(w, "held %d of %d\n", held, of)
}

// WriteReport writes report.json and report.html into a folder.
func WriteReport(folder string, r *Result) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.json"), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var page bytes.Buffer
	if err := writePage(&page, r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "report.html"), page.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// ReadReport reads report.json of a folder.
func ReadReport(folder string) (*Result, error) {
	text, err := os.ReadFile(filepath.Join(folder, "report.json"))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("report: %s: %w", folder, err)
	}
	return &r, nil
}

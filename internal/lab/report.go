package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"gradeusher.example/gradeusher/internal/lab/check"
)

// Print writes a result as text: figures, what did not hold, and last how much held. An error of the writer is left alone.
func Print(w io.Writer, r *Result) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s\n", r.Name, r.States)
	fmt.Fprintf(&text, "seed %d, %d sidecars, %d servers, %.0f requests/s for %.0f s; arrivals %s, faults %s\n", r.Seed, r.Sidecars, r.Servers, r.Rate,
		r.Seconds, r.ArrivalsHash, r.StepsHash)
	f := r.Figures
	fmt.Fprintf(&text, "served %.4f of the worth (worst 10 s %.4f, worst class %.4f), service %.4f; refused %.4f, failed %.4f of requests\n", f["served"],
		f["served_worst_10s"], f["served_worst_class"], f["service"], f["refused"], f["failed"])
	fmt.Fprintf(&text, "latency p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; %.3f attempts and %.4f new connections a request; the lab's lateness p99 %.2f ms\n",
		f["p50_ms"], f["p99_ms"], f["p999_ms"], f["attempts"], f["connections"], f["lateness_p99_ms"])
	printMeasured(&text, f, "over the fleet", "spread", "spread_worst10", "spread_rise", "churn", "refused_before", "refused_after", "refused_back_s",
		"avoid95_ms", "learn_attempts", "members_packets", "members_bytes")
	printMeasured(&text, f, "keepers", "writes", "writes_uncertain", "write_p99_ms", "write_gap_ms", "failover_p50_ms", "failover_most_ms", "told_p50_ms",
		"told_p99_ms", "watches", "watches_whole", "keeper_mb", "keeper_cores")
	if n, ok := f["route_generations"]; ok {
		fmt.Fprintf(&text, "routes: %.0f generations, told after p50 %.1f ms, p99 %.1f ms and %.0f ms at most; %.0f bytes in %.0f whole tables and %.0f changes\n",
			n, f["route_told_p50_ms"], f["route_told_p99_ms"], f["route_told_most_ms"], f["route_bytes"], f["route_wholes"], f["route_diffs"])
	}
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			fmt.Fprintf(&text, "broken: %s, %d times: %s\n", v.Name, v.Broken, strings.Join(v.Detail, "; "))
		}
	}
	if names := r.NotSeen(); len(names) > 0 {
		fmt.Fprintf(&text, "not seen, for there was nothing to look at: %s\n", strings.Join(names, ", "))
	}
	if r.BrokenOff {
		fmt.Fprintln(&text, "broken off before its end")
	}
	held, of := r.Held()
	fmt.Fprintf(&text, "held %d of %d\n", held, of)
	_, _ = io.WriteString(w, text.String()) // a reader who has gone needs no report
}

// printMeasured writes a line of those figures that were measured, if any was.
func printMeasured(text *strings.Builder, figures check.Figures, title string, names ...string) {
	var measured []string
	for _, name := range names {
		if value, ok := figures[name]; ok {
			measured = append(measured, fmt.Sprintf("%s %.4g", name, value))
		}
	}
	if len(measured) > 0 {
		fmt.Fprintf(text, "%s: %s\n", title, strings.Join(measured, ", "))
	}
}

// The files of a report.
const (
	reportFile = "report.json" // a Result
	pageFile   = "report.html"
)

// WriteReport writes report.json and report.html into a folder, which exists.
func WriteReport(folder string, r *Result) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, reportFile), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var page bytes.Buffer
	if err := writePage(&page, r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, pageFile), page.Bytes(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// ReadReport reads the result in report.json of a folder.
func ReadReport(folder string) (*Result, error) {
	text, err := os.ReadFile(filepath.Join(folder, reportFile))
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var result Result
	if err := json.Unmarshal(text, &result); err != nil {
		return nil, fmt.Errorf("report: %s: %w", folder, err)
	}
	return &result, nil
}

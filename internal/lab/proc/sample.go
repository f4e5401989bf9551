package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"gradeusher.example/gradeusher/internal/lab/clock"
)

// Sample is the resources that a process uses at a time.
type Sample struct {
	At          int64   `json:"at"`
	MemoryMB    float64 `json:"memory_mb"` // resident
	Descriptors int     `json:"descriptors"`
	CPU         float64 `json:"cpu_s"` // of a core, since its start
}

// Sample reads /proc; it fails where the process has ended.
func (p *Process) Sample() (Sample, error) {
	root := "/proc/" + strconv.Itoa(p.Pid())
	text, err := os.ReadFile(root + "/statm")
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return Sample{}, fmt.Errorf("%s: %q is no memory", p.Name, text)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	cpu, err := cpuSeconds(root + "/stat")
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	open, err := os.ReadDir(root + "/fd")
	if err != nil {
		return Sample{}, fmt.Errorf("%s: %w", p.Name, err)
	}
	return Sample{clock.Now(), float64(pages*os.Getpagesize()) / (1 << 20), len(open), cpu}, nil
}

const ticksPerSecond = 100 // of /proc's times (USER_HZ), on all that Go runs on

// cpuSeconds reads the time that a process has had (proc(5), fields 14 and 15).
func cpuSeconds(path string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	// The name, in parentheses, may hold anything.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("%q has no times", text)
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond, err
}

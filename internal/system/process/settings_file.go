package process

import (
	"bytes"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/system/settings"
)

// settingsCheckInterval is how often the settings file is read again: it may change without a SIGHUP (PROTOCOL.md).
const settingsCheckInterval = 2 * time.Second

// settingsFile is the settings file of a running process.
type settingsFile struct {
	role  settings.Role
	load  func() ([]byte, error) // reads the file
	text  []byte                 // as last read; nil: it could not be read
	err   error                  // of the last reading
	seeds []string               // in use
}

// newSettingsFile returns the file with the text that the process has started with.
func newSettingsFile(role settings.Role, load func() ([]byte, error), text []byte, started *settings.Settings) *settingsFile {
	return &settingsFile{role: role, load: load, text: text, seeds: started.SeedIPs()}
}

// read reads the file, and reports whether its text differs from that of the previous reading.
func (f *settingsFile) read() (changed bool) {
	previous := f.text
	f.text, f.err = f.load()
	return !bytes.Equal(f.text, previous)
}

// newSeeds validates the file as it was last read, and returns its seeds, which count as in use from now on. It reports whether they
// differ from those that were in use, in any order. The error is marked settings.ErrSettings.
func (f *settingsFile) newSeeds() (seeds []string, changed bool, err error) {
	if f.err != nil {
		return nil, false, f.err
	}
	read, err := settings.Parse(f.text, f.role)
	if err != nil {
		return nil, false, err
	}
	seeds = read.SeedIPs()
	changed = !slices.Equal(slices.Sorted(slices.Values(seeds)), slices.Sorted(slices.Values(f.seeds)))
	f.seeds = seeds
	return seeds, changed, nil
}

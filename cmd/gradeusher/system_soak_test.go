package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/soak"
)

// TestSystemSoakUsage: what cannot be done is refused before anything starts.
func TestSystemSoakUsage(t *testing.T) {
	for _, test := range []struct {
		args []string
		code int
	}{
		{[]string{"--seeds", "3..1"}, exitUsage}, {[]string{"--seeds", "x"}, exitUsage}, {[]string{"--seeds", "1..2", "--seed", "3"}, exitUsage},
		{[]string{"--seeds", "1..2", "--count", "3"}, exitUsage}, {[]string{"--count", "0"}, exitUsage}, {[]string{"--for", "1s"}, exitUsage},
		{[]string{"--for", "1h"}, exitUsage}, {[]string{"--seed", "-1"}, exitUsage}, {[]string{"--plans", "--seeds", "3..4"}, 0},
		{[]string{"--load", "0"}, exitUsage}, {[]string{"--load", "5"}, exitUsage}, {[]string{"--load", "NaN"}, exitUsage}, {[]string{"--plan", "x"}, exitUsage},
		{[]string{"--plans", "--plan", "wake", "--seeds", "3..4"}, 0}, {[]string{"--plans", "--plan", "wake-cut", "--seeds", "3..4"}, 0},
		{[]string{"--plans", "--plan", "wake-two", "--seeds", "3..4"}, 0},
	} {
		var out, failed bytes.Buffer
		if code := run(append([]string{"system", "soak"}, test.args...), streams{out: &out, err: &failed}); code != test.code {
			t.Errorf("%q: exit %d, want %d: %s", test.args, code, test.code, failed.String())
		}
		if test.code == 0 && strings.Count(out.String(), "seed ") != 2 {
			t.Errorf("%q: %s", test.args, out.String())
		}
	}
	var out bytes.Buffer
	if err := (systemSoakCommand{Count: 1, For: soak.MaxDuration * 2}).Run(t.Context(), streams{out: &out, err: &out}); !errors.Is(err, errUsage) || out.Len() > 0 {
		t.Errorf("%v, %q", err, out.String())
	}
}

package sealed_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// TestCell reads what it saved, and files that are unsound in each way, which it sets aside.
func TestCell(t *testing.T) {
	c := sealed.Cell[int]{Path: filepath.Join(t.TempDir(), "cell"), Kind: sealed.Kind{Magic: "number", FormatVersion: 2, MinReaderVersion: 2}, MaxBytes: 100,
		Check: func(v int) error {
			if v < 0 {
				return errors.New("negative")
			}
			return nil
		}}
	if _, ok, err := c.Load(); ok || err != nil {
		t.Errorf("there is something in no file: %t, %v", ok, err)
	}
	if err := c.Save(7); err != nil {
		t.Fatal(err)
	}
	if v, ok, err := c.Load(); v != 7 || !ok || err != nil {
		t.Errorf("%d, %t, %v", v, ok, err)
	}
	sound := string(c.Kind.Seal([]byte("7")))
	for name, text := range map[string]string{
		"torn": sound[:len(sound)-1], "foreign": "7", "changed": strings.Replace(sound, "\n7", "\n8", 1), "empty": "", "long": sound + strings.Repeat(" ", 100),
		"no number": string(c.Kind.Seal([]byte("x"))), "negative": string(c.Kind.Seal([]byte("-7"))),
		"later": string(sealed.Kind{Magic: "number", FormatVersion: 3, MinReaderVersion: 3}.Seal([]byte("7"))),
	} {
		if err := os.WriteFile(c.Path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		v, ok, err := c.Load()
		if v != 0 || ok || !errors.Is(err, sealed.ErrCorrupt) || errors.Is(err, sealed.ErrNewerFormat) != (name == "later") {
			t.Errorf("%s: %d, %t, %v", name, v, ok, err)
		}
		if aside, err := os.ReadFile(c.Path + ".unsound"); err != nil || string(aside) != text {
			t.Errorf("%s: not set aside: %v", name, err)
		}
	}
	if err := (sealed.Cell[int]{}).Save(1); err != nil {
		t.Errorf("no path: %v", err)
	}
	c.Path = filepath.Join(filepath.Dir(c.Path), "none", "cell")
	if err := c.Save(1); err == nil {
		t.Error("saved in no folder")
	}
}

package sealed_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

func checkNumber(number int) error {
	if number < 0 {
		return errors.New("negative")
	}
	return nil
}

// newCell is a cell for a number, without a file.
func newCell(t *testing.T) sealed.Cell[int] {
	t.Helper()
	return sealed.Cell[int]{
		Path:     filepath.Join(t.TempDir(), "cell"),
		Kind:     sealed.Kind{Magic: "number", FormatVersion: 2, MinReaderVersion: 2},
		MaxBytes: 100,
		Check:    checkNumber,
	}
}

// TestCell reads what it saved.
func TestCell(t *testing.T) {
	cell := newCell(t)
	if _, found, err := cell.Load(); found || err != nil {
		t.Errorf("there is something in no file: %t, %v", found, err)
	}
	if err := cell.Save(7); err != nil {
		t.Fatal(err)
	}
	if number, found, err := cell.Load(); number != 7 || !found || err != nil {
		t.Errorf("%d, %t, %v", number, found, err)
	}
	if err := (sealed.Cell[int]{}).Save(1); err != nil {
		t.Errorf("no path: %v", err)
	}
	cell.Path = filepath.Join(filepath.Dir(cell.Path), "none", "cell")
	if err := cell.Save(1); err == nil {
		t.Error("saved in no folder")
	}
}

// TestCellCorrupt reads files that are corrupt in each way, and quarantines them.
func TestCellCorrupt(t *testing.T) {
	cell := newCell(t)
	valid := string(cell.Kind.Seal([]byte("7")))
	for name, test := range map[string]struct {
		content string
		newer   bool
	}{
		"truncated": {content: valid[:len(valid)-1]},
		"foreign":   {content: "7"},
		"changed":   {content: strings.Replace(valid, "\n7", "\n8", 1)},
		"empty":     {content: ""},
		"too long":  {content: valid + strings.Repeat(" ", 100)},
		"no number": {content: string(cell.Kind.Seal([]byte("x")))},
		"negative":  {content: string(cell.Kind.Seal([]byte("-7")))},
		"newer":     {content: string(sealed.Kind{Magic: "number", FormatVersion: 3, MinReaderVersion: 3}.Seal([]byte("7"))), newer: true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := os.WriteFile(cell.Path, []byte(test.content), 0o600); err != nil {
				t.Fatal(err)
			}
			number, found, err := cell.Load()
			if number != 0 || found || !errors.Is(err, sealed.ErrCorrupt) || errors.Is(err, sealed.ErrNewerFormat) != test.newer {
				t.Errorf("%d, %t, %v", number, found, err)
			}
			if quarantined, err := os.ReadFile(cell.Path + ".unsound"); err != nil || string(quarantined) != test.content {
				t.Errorf("not quarantined: %v", err)
			}
		})
	}
}

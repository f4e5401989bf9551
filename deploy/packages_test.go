package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// certificates is the package of those that Go's modules are fetched with. Nothing of it is used where they are there already.
const certificates = "ca-certificates"

// TestPackages asks the compiler where the files are that the external link uses, and dpkg whose they are: each is to be
// named, and nothing else. Else a build in a clean system fails, or succeeds and leaves a program without an entry point, as it
// does without the C library's start files.
func TestPackages(t *testing.T) {
	packages := readSystem(t).Packages
	if len(packages) == 0 {
		t.Fatal("packages is missing in system.toml: name what a clean build needs")
	}
	if !slices.Contains(packages, certificates) {
		t.Errorf("%s is not named", certificates)
	}
	if _, err := exec.LookPath("dpkg"); err != nil {
		t.Skip("there is no dpkg to ask whose the files are")
	}
	owners := map[string]string{certificates: ""}
	for _, file := range linkFiles(t) {
		out, err := exec.CommandContext(t.Context(), "dpkg", "-S", file).Output()
		owner, _, _ := strings.Cut(string(out), ":")
		if err != nil || owner == "" {
			t.Errorf("%s belongs to no package: %v", file, err)
			continue
		}
		owners[owner] = file
		if !slices.Contains(packages, owner) {
			t.Errorf("the build uses %s of %s, which packages does not name", file, owner)
		}
	}
	for _, name := range packages {
		if _, is := owners[name]; !is {
			t.Errorf("packages names %s, of which the build uses nothing known: add the file to linkFiles or take the name out", name)
		}
	}
}

// linkFiles are files of the kinds that a build with an external link uses: the compiler, the assembler and linker that it
// calls, the start files of the C library, its headers, and those of the kernel that they include.
func linkFiles(t *testing.T) []string {
	t.Helper()
	compiler, err := exec.LookPath(ask(t, "", "go", "env", "CC"))
	if err != nil {
		t.Fatalf("no C compiler: install what packages names in system.toml (%v)", err)
	}
	files := []string{compiler}
	for _, tool := range []string{"as", "ld"} {
		path, err := exec.LookPath(ask(t, "", compiler, "-print-prog-name="+tool))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, path)
	}
	files = append(files, filepath.Clean(ask(t, "", compiler, "-print-file-name=crt1.o")))
	// Lines of the preprocessor name the files: # 1 "/usr/include/errno.h" 1 3 4
	for line := range strings.Lines(ask(t, "#include <stdlib.h>\n#include <errno.h>\n", compiler, "-E", "-x", "c", "-")) {
		_, name, _ := strings.Cut(line, `"`)
		name, _, quoted := strings.Cut(name, `"`)
		if quoted && (strings.HasSuffix(name, "/stdlib.h") || strings.HasSuffix(name, "/errno.h")) && !slices.Contains(files, name) {
			files = append(files, name)
		}
	}
	return files
}

func ask(t *testing.T, input, program string, args ...string) string {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), program, args...)
	cmd.Stdin = strings.NewReader(input)
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%s %v: %v", program, args, err)
	}
	return strings.TrimSpace(string(out))
}

// TestReadmeNamesThePackages: a newcomer installs what README says.
func TestReadmeNamesThePackages(t *testing.T) {
	readme, err := os.ReadFile(filepath.Join(root, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	if line := "apt-get install " + strings.Join(readSystem(t).Packages, " ") + "\n"; !strings.Contains(string(readme), line) {
		t.Errorf("README.md lacks %q", line)
	}
}

package settings

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestCheckScripts parses the settings of each file in testdata/check and compares
// the faults with the file's want section.
func TestCheckScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/check/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Parse(section(t, archive, "settings.json"))
			got := ""
			var invalid *hornbeamwell.InvalidError
			switch {
			case errors.As(err, &invalid):
				got = invalid.Error()
			case err != nil:
				t.Fatal(err)
			}
			want := strings.TrimSpace(string(section(t, archive, "want")))
			if got != want {
				t.Errorf("faults:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

func section(t *testing.T, archive *txtar.Archive, name string) []byte {
	t.Helper()
	for _, f := range archive.Files {
		if f.Name == name {
			return f.Data
		}
	}
	t.Fatalf("no section %s", name)
	return nil
}

package settings

import (
	"errors"
	"path/filepath"
	"regexp"
	"slices"
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

// TestErrorsShowNoValue guards against an API key in an error about a file that was
// mistaken for settings. Names are part of faults that compare them, so their values are
// not replaced.
func TestErrorsShowNoValue(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/check/good.txtar")
	if err != nil {
		t.Fatal(err)
	}
	data := section(t, archive, "settings.json")
	values := regexp.MustCompile(`"(\w+)": ("[^"]*"|[0-9.]+|true|false|\[)`).FindAllSubmatchIndex(data, -1)
	refused := 0
	for _, at := range values {
		if slices.Contains([]string{"instance", "zone", "id"}, string(data[at[2]:at[3]])) {
			continue
		}
		for _, mistake := range []string{`"hbw-Zx81"`, `hbw-Zx81`, `["hbw-Zx81"]`, `1881e400`, `18.81`} {
			damaged := slices.Concat(data[:at[4]], []byte(mistake), data[at[5]:])
			if data[at[4]] == '[' {
				damaged = slices.Concat(data[:at[5]], []byte(mistake+", "), data[at[5]:])
			}
			if _, err := Parse(damaged); err != nil {
				refused++
				if text := err.Error(); strings.Contains(text, "Zx81") || strings.Contains(text, "18.81") || strings.Contains(text, "1881") {
					t.Errorf("%s for %s: %s", mistake, data[at[2]:at[3]], text)
				}
			}
		}
	}
	if refused < 50 {
		t.Errorf("only %d damaged files were refused", refused)
	}
}

package review

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"golang.org/x/tools/txtar"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestDecodeFaults runs the files of testdata/decode.txtar. A file is decoded without its
// last lines, which begin with "want ".
func TestDecodeFaults(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/decode.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		document, want, _ := strings.Cut(string(file.Data), "want ")
		_, err := Decode(file.Name, []byte(document))
		if want = strings.TrimSpace(want); err == nil || err.Error() != want {
			t.Errorf("%s: error %q, want %q", file.Name, err, want)
		}
	}
}

// secret is an API key that stands anywhere in a file.
const secret = "hbw-Zx81-9"

// tokens matches the tokens of JSON that a mistake may replace.
var tokens = regexp.MustCompile(`"[^"]*"|[-0-9.]+|true|false|null|[][{},:]`)

// TestDecodeErrorsShowNoKey guards against an API key in an error: each token of a
// complete configuration is replaced by a key with and without quotes, or a key is put
// before it.
func TestDecodeErrorsShowNoKey(t *testing.T) {
	data, err := os.ReadFile("testdata/complete.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode("complete.json", data); err != nil {
		t.Fatal(err)
	}
	failed := 0
	for _, at := range tokens.FindAllIndex(data, -1) {
		for _, mistake := range []string{`"` + secret + `"`, secret, `{"` + secret + `": 1}`, `["` + secret + `"]`, `"` + secret + `": `, `"` + secret + "\xff\"", `"` + secret} {
			for _, end := range []int{at[0], at[1]} {
				damaged := string(data[:at[0]]) + mistake + string(data[end:])
				_, err := Decode("complete.json", []byte(damaged))
				if err == nil {
					continue
				}
				failed++
				checkShowsNoKey(t, mistake, at[0], err)
			}
		}
	}
	if failed < 1000 {
		t.Errorf("only %d of the damaged files were refused", failed)
	}
}

// location is the end of every decode error.
var location = regexp.MustCompile(`\(line \d+, column \d+ of complete\.json\)$`)

func checkShowsNoKey(t *testing.T, mistake string, offset int, err error) {
	t.Helper()
	var invalid *hornbeamwell.InvalidError
	switch text := fmt.Sprintf("%+v", err); {
	case !errors.As(err, &invalid):
		t.Errorf("%q at %d: error of type %T", mistake, offset, err)
	case !location.MatchString(text):
		t.Errorf("%q at %d: no location in %q", mistake, offset, text)
	// A part of the key is one too many.
	case strings.Contains(text, "hbw") || strings.Contains(text, "Zx81") || !utf8.ValidString(text):
		t.Errorf("%q at %d: the error contains the key: %q", mistake, offset, text)
	}
}

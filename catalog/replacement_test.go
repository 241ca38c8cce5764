package catalog

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// documentOf returns a large document whose last line contains the revision.
func documentOf(revision uint64) []byte {
	var b bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&b, "route %d leads somewhere %x\n", i, i*7919)
	}
	fmt.Fprintf(&b, "revision %d\n", revision)
	return b.Bytes()
}

func replaceRoutes(service string) []hornbeamwell.Route {
	return []hornbeamwell.Route{{
		Name: "browse", PathPrefix: "/browse/", Service: service, Class: hornbeamwell.ClassInteractive,
		Timeout: time.Second, MaxBodyBytes: 1, MaxAttempts: 1,
	}}
}

// replaceDocument proposes a document and applies it at the index. It returns
// the outcome and the size of the command.
func replaceDocument(t *testing.T, c *Catalog, index, revision, base uint64, service string) (Outcome, int) {
	t.Helper()
	document := documentOf(revision)
	wanted := Resources{Services: []hornbeamwell.Service{{Name: service, IsOpen: true}}, Routes: replaceRoutes(service)}
	replacement, err := NewReplacement(c.Configuration(), revision, base, document, wanted)
	if err != nil {
		return Outcome{Err: err}, 0
	}
	data, err := EncodeCommand(Command{Kind: KindReplace, Replacement: replacement})
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := DecodeOutcome(c.Apply(index, data))
	if err != nil {
		t.Fatal(err)
	}
	return outcome, len(data)
}

func TestReplacementRevisionsAndSnapshot(t *testing.T) {
	t.Parallel()
	c := New(func(_ Command, m hornbeamwell.Move) (hornbeamwell.Move, error) { return m, nil })
	if outcome, _ := replaceDocument(t, c, 2, 3, 0, "letters"); outcome.Err != nil {
		t.Fatal(outcome.Err)
	}
	outcome, size := replaceDocument(t, c, 3, 7, 3, "letters")
	if outcome.Err != nil {
		t.Fatal(outcome.Err)
	}
	if size > len(documentOf(7))/20 {
		t.Errorf("a change of one line in a document of %d bytes is a command of %d bytes, want at most a twentieth", len(documentOf(7)), size)
	}
	var conflict *hornbeamwell.ConflictError
	if outcome, _ := replaceDocument(t, c, 4, 8, 3, "packs"); !errors.As(outcome.Err, &conflict) {
		t.Errorf("a document based on an older revision got %v, want a conflict", outcome.Err)
	}
	var invalidErr *hornbeamwell.InvalidError
	if outcome, _ := replaceDocument(t, c, 5, 6, 7, "packs"); !errors.As(outcome.Err, &invalidErr) {
		t.Errorf("a document with a revision below the current one got %v, want an InvalidError", outcome.Err)
	}
	configuration := c.Configuration()
	if configuration.Revision != 7 || !bytes.Equal(configuration.Document, documentOf(7)) || configuration.Routes[0].Service != "letters" {
		t.Errorf("revision %d is current, want 7 with its document and routes", configuration.Revision)
	}
	if !c.HasAccepted(documentOf(3)) || c.HasAccepted(documentOf(8)) {
		t.Error("HasAccepted does not match the accepted documents")
	}
	snapshot, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(nil)
	if err := restored.Restore(5, snapshot); err != nil {
		t.Fatal(err)
	}
	if !restored.HasAccepted(documentOf(3)) || !bytes.Equal(restored.Configuration().Document, documentOf(7)) {
		t.Error("the snapshot does not contain the accepted documents")
	}
}

// TestConcurrentReplacementsHaveOneWinner applies two documents that are based
// on the same revision, and resends the first.
func TestConcurrentReplacementsHaveOneWinner(t *testing.T) {
	t.Parallel()
	c := New(nil)
	propose := func(revision uint64) []byte {
		replacement, err := NewReplacement(c.Configuration(), revision, 0, documentOf(revision),
			Resources{Services: []hornbeamwell.Service{{Name: "letters", IsOpen: true}}, Routes: replaceRoutes("letters")})
		if err != nil {
			t.Fatal(err)
		}
		data, err := EncodeCommand(Command{Kind: KindReplace, Replacement: replacement})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	first, second := propose(5), propose(6)
	for i, data := range [][]byte{first, second, first} {
		outcome, err := DecodeOutcome(c.Apply(uint64(i+2), data))
		if err != nil {
			t.Fatal(err)
		}
		if isWinner := i != 1; isWinner != (outcome.Err == nil) {
			t.Errorf("command %d got %v, want only command 1 to be refused", i, outcome.Err)
		}
	}
	if got := c.Configuration().Revision; got != 5 {
		t.Errorf("revision %d is current, want 5", got)
	}
}

func TestReplaceKeepsCurrentVersionsAndEndsOrphanedMoves(t *testing.T) {
	t.Parallel()
	c := New(nil)
	if outcome, _ := replaceDocument(t, c, 2, 1, 0, "letters"); outcome.Err != nil {
		t.Fatal(outcome.Err)
	}
	at := time.Unix(1000, 0)
	data, err := EncodeCommand(Command{Kind: KindStartMove, At: at, Move: hornbeamwell.Move{
		Service: "letters", From: "v1", To: "v2", Deadline: at.Add(12 * time.Second), Prefer: hornbeamwell.PreferDeadline,
	}})
	if err != nil {
		t.Fatal(err)
	}
	if outcome, err := DecodeOutcome(c.Apply(3, data)); err != nil || outcome.Err != nil {
		t.Fatal(err, outcome.Err)
	}
	if outcome, _ := replaceDocument(t, c, 4, 2, 1, "letters"); outcome.Err != nil {
		t.Fatal(outcome.Err)
	}
	service, _ := c.Configuration().Service("letters")
	if v, found := service.Version("v1"); !found || v.Share != hornbeamwell.FullShare || len(c.Configuration().Moves) != 1 {
		t.Errorf("after the replacement the versions are %v and the moves %v, want v1 with the full share and one move", service.Versions, c.Configuration().Moves)
	}
	if outcome, _ := replaceDocument(t, c, 5, 3, 2, "packs"); outcome.Err != nil {
		t.Fatal(outcome.Err)
	}
	moves := c.Moves()
	if len(moves) != 1 || moves[0].Phase != hornbeamwell.PhaseTakenBack {
		t.Errorf("the moves are %v, want the move of the removed service taken back", moves)
	}
}

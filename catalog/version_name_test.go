package catalog

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestConfigurationAfterMoveToAnyVersion guards against configurations that are all refused
// after a move, because the name of its version is one that a move may have and a configuration
// may not.
func TestConfigurationAfterMoveToAnyVersion(t *testing.T) {
	t.Parallel()
	for name, isAccepted := range map[string]bool{"2.0.0-RC1": true, "2.0.0+Build.7": true, "v2~beta": true, "v 2": false, "v2/x": false, "": false} {
		c := New(controlTakeBack)
		if outcome, _ := replaceDocument(t, c, 2, 3, 0, "letters"); outcome.Err != nil {
			t.Fatal(outcome.Err)
		}
		command := startCommand("m")
		command.Move.Service, command.Move.From, command.Move.To = "letters", "1.9.0", name
		started := mustApply(t, c, 3, command)
		var invalidErr *hornbeamwell.InvalidError
		if isAccepted != (started.Err == nil) || !isAccepted && !errors.As(started.Err, &invalidErr) {
			t.Errorf("a move to %q: %v", name, started.Err)
		}
		if outcome, _ := replaceDocument(t, c, 4, 7, 3, "letters"); outcome.Err != nil {
			t.Errorf("the configuration after a move to %q: %v", name, outcome.Err)
		}
	}
}

package operator

import (
	"fmt"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// TestTeamsOfRequests guards against teams with ambiguous keys or impossible numbers that
// are accepted, and against hashes of another length that are left out silently.
func TestTeamsOfRequests(t *testing.T) {
	t.Parallel()
	archive, err := txtar.ParseFile("testdata/teams.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(archive.Files); i += 2 {
		name, want := archive.Files[i].Name, strings.TrimSpace(string(archive.Files[i+1].Data))
		request := &schema.ApplyRequest{}
		if err := protojson.Unmarshal(fmt.Appendf(nil, `{"request_id":"a","teams":%s}`, archive.Files[i].Data), request); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		s, ledger := newService()
		if _, err := s.Apply(t.Context(), connect.NewRequest(request)); err != nil {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: refused with %v, want a fault of %s", name, err, want)
			}
			continue
		}
		teams := ledger.catalog.Configuration().Teams
		got := make([]string, 0, len(teams))
		for _, team := range teams {
			got = append(got, fmt.Sprintf("%s %d", team.Name, len(team.KeyHashes)))
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: accepted as %v, want %s", name, got, want)
		}
	}
}

// TestChangeOfTeams guards against a change of one team that touches the others.
func TestChangeOfTeams(t *testing.T) {
	t.Parallel()
	s, ledger := newService()
	hash := hornbeamwell.HashKey("k")
	first := &schema.ChangeRequest{RequestId: "a", Teams: []*schema.Team{{Name: "b", KeyHashes: [][]byte{hash[:]}}, {Name: "a"}}}
	second := &schema.ChangeRequest{RequestId: "b", Teams: []*schema.Team{{Name: "c", Priority: 2}}, RemovedTeams: []string{"a"}}
	for _, request := range []*schema.ChangeRequest{first, second} {
		if _, err := s.Change(t.Context(), connect.NewRequest(request)); err != nil {
			t.Fatal(err)
		}
	}
	teams := ledger.catalog.Configuration().Teams
	if len(teams) != 2 || teams[0].Name != "b" || teams[0].KeyHashes[0] != hash || teams[1].Priority != 2 {
		t.Errorf("the teams are %+v, want b with its key and c", teams)
	}
	shared := &schema.ChangeRequest{RequestId: "c", Teams: []*schema.Team{{Name: "d", KeyHashes: [][]byte{hash[:]}}}}
	if _, err := s.Change(t.Context(), connect.NewRequest(shared)); err == nil || !strings.Contains(err.Error(), "teams[0].key_hashes[0]") {
		t.Errorf("a team with the key of another one got %v, want a fault of teams[0].key_hashes[0]", err)
	}
}

package ledger

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// initialMembersName is the file with the initial voters of an instance that was started to
// bootstrap the ledger. It exists before the instance takes part in anything, so that a
// restart before the bootstrap does not leave a cluster that nobody creates.
const initialMembersName = "initial-members"

// initialMember is the JSON encoding of an initial voter.
type initialMember struct {
	ID      string `json:"id"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address"`
}

// keepInitialMembers keeps the initial voters in the folder, or returns those that an earlier
// process kept there if none are given.
func keepInitialMembers(folder hornbeamwell.DataFolder, members []settings.Member) ([]settings.Member, error) {
	if len(members) > 0 {
		return members, writeInitialMembers(folder, members)
	}
	names, err := folder.List()
	if err != nil {
		return nil, fmt.Errorf("find initial members: %w", err)
	}
	if !slices.Contains(names, initialMembersName) {
		return nil, nil
	}
	content, err := folder.Read(initialMembersName)
	if err != nil {
		return nil, fmt.Errorf("read initial members: %w", err)
	}
	return decodeInitialMembers(content)
}

func writeInitialMembers(folder hornbeamwell.DataFolder, members []settings.Member) error {
	messages := make([]initialMember, 0, len(members))
	for _, m := range members {
		messages = append(messages, initialMember{ID: m.ID, Zone: m.Zone, Address: m.Address.String()})
	}
	content, err := json.Marshal(messages)
	if err != nil {
		return fmt.Errorf("encode initial members: %w", err)
	}
	if err := folder.Replace(initialMembersName, content); err != nil {
		return fmt.Errorf("keep initial members: %w", err)
	}
	return nil
}

func decodeInitialMembers(content []byte) ([]settings.Member, error) {
	var messages []initialMember
	if err := json.Unmarshal(content, &messages); err != nil {
		return nil, fmt.Errorf("decode initial members: %w", err)
	}
	members := make([]settings.Member, 0, len(messages))
	for _, m := range messages {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return nil, fmt.Errorf("address of initial member %s: %w", m.ID, err)
		}
		members = append(members, settings.Member{ID: m.ID, Zone: m.Zone, Address: address})
	}
	return members, nil
}

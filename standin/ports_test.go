package standin

import (
	"net/netip"
	"testing"
)

// TestProcessesReserveDifferentPorts lets two owners of reservations, as two
// processes are, try the same ports. It guards against a port that two test runs
// on one machine both take for theirs.
func TestProcessesReserveDifferentPorts(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	const perOwner = 50
	var owners [2]portReservations
	taken := map[netip.AddrPort]bool{}
	for i := range owners {
		if err := owners[i].open(); err != nil {
			t.Fatal(err)
		}
		owners[i].tried = 0
		addresses, err := owners[i].freeAddresses(t.Context(), perOwner)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			if taken[address] {
				t.Errorf("both owners got %s", address)
			}
			taken[address] = true
		}
	}
}

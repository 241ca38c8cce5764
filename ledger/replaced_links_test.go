package ledger

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// fakeHosts are the hosts that instances run on. Packets to an address that is not among
// the running ones are lost.
type fakeHosts struct {
	mutex sync.Mutex
	// received counts the messages by address.
	received map[netip.AddrPort]int
	running  map[netip.AddrPort]bool
}

func newFakeHosts() *fakeHosts {
	return &fakeHosts{received: map[netip.AddrPort]int{}, running: map[netip.AddrPort]bool{}}
}

func (h *fakeHosts) set(address netip.AddrPort, isRunning bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.running[address] = isRunning
}

func (h *fakeHosts) receivedAt(address netip.AddrPort) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.received[address]
}

func (h *fakeHosts) dial(ctx context.Context, timeout time.Duration, address netip.AddrPort, mux *wire.Mux) (*wire.Peer, error) {
	h.mutex.Lock()
	isRunning := h.running[address]
	h.mutex.Unlock()
	if !isRunning {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(timeout):
			return nil, os.ErrDeadlineExceeded
		}
	}
	near, far := net.Pipe()
	receiver := wire.NewMux()
	wire.Handle(receiver, methodMessage, func(context.Context, *wire.Peer, wire.LedgerMessage) (struct{}, error) {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.received[address]++
		return struct{}{}, nil
	})
	wire.Handle(receiver, methodPing, func(context.Context, *wire.Peer, struct{}) (struct{}, error) { return struct{}{}, nil })
	wire.NewPeer(ctx, far, receiver)
	return wire.NewPeer(ctx, near, mux), nil
}

// runTransport runs a transport to the hosts until the returned function is called.
func runTransport(t *testing.T, hosts *fakeHosts, logger log.Logger) (*transport, func()) {
	tr := newTransport(SiteTiming(), make(chan string, messageQueueSize), logger)
	tr.dial = hosts.dial
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = tr.run(ctx) })
	return tr, func() { cancel(); running.Wait() }
}

func replacementAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7600)
}

func memberAt(i int) hornbeamwell.LedgerMember {
	address := replacementAddress(i)
	return hornbeamwell.LedgerMember{ID: address.String(), Identity: fmt.Sprint(i), Address: address, Role: hornbeamwell.LedgerVoter}
}

// TestReplacedInstancesLeaveNoLinks guards against links to addresses that are gone for good,
// which kept the leader from reaching new instances after 28 replacements, and after 60 with
// a small configuration. It replaces two of four members at a time.
func TestReplacedInstancesLeaveNoLinks(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]Body{
		"small": HeartbeatReply{},
		"bulk":  SnapshotChunk{Data: make([]byte, bulkThresholdBytes+1)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkReplacements(t, body) })
		})
	}
}

func checkReplacements(t *testing.T, body Body) {
	const rounds, others = 150, 4
	hosts := newFakeHosts()
	tr, stop := runTransport(t, hosts, log.NewNopLogger())
	defer stop()
	var members []hornbeamwell.LedgerMember
	for next := range others {
		members = append(members, memberAt(next))
		hosts.set(members[next].Address, true)
	}
	beat := func(receivers []hornbeamwell.LedgerMember, period time.Duration) {
		for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(tr.timing.Heartbeat) {
			tr.update(time.Now(), members)
			for _, m := range receivers {
				tr.send(time.Now(), Message{To: endpointOf(m), Body: HeartbeatReply{}})
			}
		}
	}
	for round := range rounds {
		hosts.set(members[0].Address, false)
		hosts.set(members[1].Address, false)
		beat(members, 2*time.Second)
		for i := range 2 {
			fresh := memberAt(others + 2*round + i)
			hosts.set(fresh.Address, true)
			members = append(members[1:], fresh)
			tr.send(time.Now(), Message{To: endpointOf(fresh), Body: body})
		}
		beat(members, time.Second)
		for _, m := range members[others-2:] {
			if hosts.receivedAt(m.Address) == 0 {
				t.Fatalf("round %d: nothing reached the new instance %s", round, m.ID)
			}
		}
		beat(members[:1], linkIdleTimeout)
	}
	beat(members, 2*linkIdleTimeout)
	synctest.Wait()
	for key := range tr.links {
		if !tr.isMember(key) {
			t.Errorf("a link to %s is left, which is no member", key.address)
		}
	}
	if most := 2 * others; len(tr.links) > most {
		t.Errorf("%d links are left, want at most %d", len(tr.links), most)
	}
	if n := tr.unsent.Load(); n != 0 {
		t.Errorf("%d messages count as unsent", n)
	}
}

// TestMessagesOfStrangersCloseNoLinkToMember guards against a process that makes an instance
// reply to many addresses: members must be reached, and so must the next address.
func TestMessagesOfStrangersCloseNoLinkToMember(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		hosts := newFakeHosts()
		tr, stop := runTransport(t, hosts, log.NewNopLogger())
		defer stop()
		member := memberAt(1)
		hosts.set(member.Address, true)
		tr.update(time.Now(), []hornbeamwell.LedgerMember{member})
		tr.send(time.Now(), Message{To: endpointOf(member), Body: HeartbeatReply{}})
		for i := range 5 * maxOtherLinks {
			tr.send(time.Now(), Message{To: endpointOf(memberAt(100 + i)), Body: HeartbeatReply{}})
			if most := maxOtherLinks + 1; len(tr.links) > most {
				t.Fatalf("%d links, want at most %d", len(tr.links), most)
			}
		}
		late := memberAt(2)
		hosts.set(late.Address, true)
		tr.send(time.Now(), Message{To: endpointOf(late), Body: HeartbeatReply{}})
		tr.send(time.Now(), Message{To: endpointOf(member), Body: HeartbeatReply{}})
		time.Sleep(time.Second)
		if n := hosts.receivedAt(member.Address); n != 2 {
			t.Errorf("%d of 2 messages reached the member", n)
		}
		if n := hosts.receivedAt(late.Address); n != 1 {
			t.Errorf("%d of 1 messages reached the address after them", n)
		}
		time.Sleep(time.Minute)
		tr.update(time.Now(), []hornbeamwell.LedgerMember{member})
		synctest.Wait()
		if n := tr.unsent.Load(); n != 0 || len(tr.links) != 1 {
			t.Errorf("%d links and %d unsent messages are left, want 1 and 0", len(tr.links), n)
		}
	})
}

// TestLinkToReturningAddressIsOpenedAgain guards against a link that ends while a message to
// the same address comes: a replacement may get the address of an instance that is gone.
func TestLinkToReturningAddressIsOpenedAgain(t *testing.T) {
	t.Parallel()
	for offset := -20 * time.Millisecond; offset <= 20*time.Millisecond; offset += time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			hosts := newFakeHosts()
			tr, stop := runTransport(t, hosts, log.NewNopLogger())
			defer stop()
			m := memberAt(1)
			hosts.set(m.Address, true)
			tr.send(time.Now(), Message{To: endpointOf(m), Body: HeartbeatReply{}})
			time.Sleep(linkIdleTimeout + offset)
			tr.update(time.Now(), nil)
			tr.send(time.Now(), Message{To: endpointOf(m), Body: HeartbeatReply{}})
			time.Sleep(time.Second)
			if n := hosts.receivedAt(m.Address); n != 2 {
				t.Errorf("offset %s: %d of 2 messages arrived", offset, n)
			}
		})
	}
}

// TestDroppedMessagesToMemberAreLogged guards against an instance that can't reach a member
// and writes nothing about it. The lines are bounded in number.
func TestDroppedMessagesToMemberAreLogged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		tr, stop := runTransport(t, newFakeHosts(), log.NewLogfmtLogger(&lines))
		defer stop()
		members := []hornbeamwell.LedgerMember{memberAt(1)}
		for range 1000 {
			tr.update(time.Now(), members)
			tr.send(time.Now(), Message{To: endpointOf(members[0]), Body: HeartbeatReply{}})
			tr.send(time.Now(), Message{To: endpointOf(memberAt(2)), Body: HeartbeatReply{}})
			time.Sleep(100 * time.Millisecond)
		}
		if n := strings.Count(lines.String(), "to=10.0.0.1:7600 role=voter"); n < 8 || n > 11 {
			t.Errorf("%d lines about the member in 100 s, want about one each 10 s:\n%s", n, lines.String())
		}
		if n := strings.Count(lines.String(), "\n"); n > 11 {
			t.Errorf("%d lines in 100 s", n)
		}
	})
}

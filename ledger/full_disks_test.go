package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
)

// fullableFolders returns a wrapFolder with one folder in memory per path, and the folders by
// path.
func fullableFolders() (func(string, hornbeamwell.DataFolder) hornbeamwell.DataFolder, map[string]*faulty.Folder) {
	folders := map[string]*faulty.Folder{}
	return func(path string, _ hornbeamwell.DataFolder) hornbeamwell.DataFolder {
		if folders[path] == nil {
			folders[path] = faulty.NewFolder()
		}
		return folders[path]
	}, folders
}

// TestDisksFullInTurn guards against voters that stay behind after their disks were full, one
// after another and never two at once, so that changes are refused or stay unanswered long
// after the last disk has room again. Snapshots are due all the time, a follower that is behind
// gets one, and in some turns the voter is restarted or loses the leadership meanwhile. Each
// command that was acknowledged must be kept.
func TestDisksFullInTurn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 3))
			limits := DefaultLimits()
			limits.SnapshotEntries, limits.TrailingEntries, limits.ChunkBytes = 7, 2, 200
			g := prepareGroup(t, 3, limits)
			var folders map[string]*faulty.Folder
			g.wrapFolder, folders = fullableFolders()
			g.startAll()
			g.propose("first")
			acknowledged := proposeInTurns(t, g, random, folders)
			began := time.Now()
			last := g.propose("last")
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("the first command after the last full disk took %s", took)
			}
			g.waitApplied(last.Index)
			checkCommands(t, g, append(acknowledged, "last"))
			for i := range g.instances {
				g.stop(i)
			}
			for i := range g.instances {
				g.start(i)
			}
			g.waitApplied(g.propose("after the restart").Index)
			checkCommands(t, g, append(acknowledged, "last", "after the restart"))
		})
	}
}

// proposeInTurns fills the disks in turn while commands are proposed, and returns those that
// were acknowledged.
func proposeInTurns(t *testing.T, g *group, random *rand.Rand, folders map[string]*faulty.Folder) []string {
	t.Helper()
	var mu sync.Mutex
	var acknowledged []string
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			command := fmt.Sprintf("command %d %s", n, strings.Repeat("x", 50))
			mu.Lock()
			var leader *Ledger
			for _, in := range g.instances {
				if in != nil && in.ledger.Status().HoldsLease {
					leader = in.ledger
				}
			}
			mu.Unlock()
			if leader == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := leader.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				acknowledged = append(acknowledged, command)
			} else if !errors.Is(err, hornbeamwell.ErrNotRun) && !errors.Is(err, hornbeamwell.ErrUnknownOutcome) {
				t.Errorf("%s: %v", command, err)
			}
		}
	}()
	previous := -1
	for range 10 {
		i := random.IntN(len(g.instances))
		if i == previous {
			i = (i + 1) % len(g.instances)
		}
		previous = i
		folder := folders[g.folders[i]]
		folder.SetFull(true)
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
		if random.IntN(3) == 0 {
			mu.Lock()
			g.stop(i)
			mu.Unlock()
			folder.SetFull(false)
			mu.Lock()
			g.start(i)
			mu.Unlock()
		}
		folder.SetFull(false)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	close(stop)
	<-stopped
	return acknowledged
}

// checkCommands checks that each instance has the commands in this order.
func checkCommands(t *testing.T, g *group, want []string) {
	t.Helper()
	for i := range g.instances {
		g.eventually("the commands", func() bool {
			machine, _ := g.instances[i].machine.(*listStateMachine)
			next := 0
			for _, command := range g.commandsOf(machine) {
				if next < len(want) && command == want[next] {
					next++
				}
			}
			return next == len(want)
		})
	}
}

func (g *group) commandsOf(machine *listStateMachine) []string { return slices.Clone(machine.commands) }

package ledger

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/disk"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// StateMachine is the deterministic state machine that committed commands are
// applied to. Its methods are not called concurrently: Open may call Restore,
// and later calls come from the goroutine of the core.
type StateMachine interface {
	// Apply applies a committed command and returns the response, which must be
	// the same on every instance.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state. The result must not be empty.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot that was taken after the entry at
	// the index was applied.
	Restore(index uint64, data []byte) error
}

// Options configure one ledger instance. The other members learn its Zone when it
// joins through seeds.
type Options struct {
	ID, Zone string
	// Folder is the path of the data folder. It is not used if Storage is set.
	Folder  string
	Storage hornbeamwell.LedgerStorage
	// WrapFolder, if set, returns the folder to use in place of the one at the
	// path.
	WrapFolder func(path string, folder hornbeamwell.DataFolder) hornbeamwell.DataFolder
	// Address is the address at which other instances reach this one.
	Address netip.AddrPort
	// Members are the initial voters. An instance that is not among them waits
	// until it is added. With Seeds, they are needed at the first start only.
	Members []settings.Member
	// Seeds returns the addresses of instances that know the others. This
	// instance sends them join requests while it knows no leader. Seeds is nil
	// if members are added by hand.
	Seeds func() []netip.AddrPort
	// TolerateLosses is the number of disks that may be lost at once without
	// losing a committed entry, provided that there are more voters than that. 0
	// requires only a majority. With Seeds, learners are promoted only up to
	// 2*TolerateLosses+1 voters.
	TolerateLosses int
	// CatchUp is the time from the start of an instance to the end of the replacement for
	// which it was started: with Seeds, it then has the seat of a voter that is gone, and
	// TolerateLosses holds for the other disks. The default is 12 s.
	CatchUp      time.Duration
	StateMachine StateMachine
	Logger       log.Logger
	// OnApplied is called after a command was applied or a snapshot received
	// from the leader was restored, on the goroutine that calls the state
	// machine. It must not block.
	OnApplied func(index uint64)
	// OnLeadership is called after a change of the term, the role, the leader,
	// HoldsLease or the list of members, on the same goroutine. It must not
	// block.
	OnLeadership func(Status)
	// Now reads a monotonic clock.
	Now func() time.Time
	// Timing and Limits default to DefaultTiming and DefaultLimits.
	Timing Timing
	Limits Limits
}

// withDefaults sets unset fields to their defaults.
func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.CatchUp == 0 {
		o.CatchUp = defaultCatchUp
	}
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	if o.OnApplied == nil {
		o.OnApplied = func(uint64) {}
	}
	if o.OnLeadership == nil {
		o.OnLeadership = func(Status) {}
	}
	return o
}

// openStorage returns the storage, which it opens in the data folder unless
// Options.Storage is set, and a function that closes it. With Seeds, it sets Members to
// those that an earlier process of the folder was started with if there are none.
func (o *Options) openStorage() (hornbeamwell.LedgerStorage, func(), error) {
	if o.Storage != nil {
		return o.Storage, func() { _ = o.Storage.Close() }, nil
	}
	folder, err := disk.OpenFolder(o.Folder)
	if err != nil {
		return nil, nil, err
	}
	var files hornbeamwell.DataFolder = folder
	if o.WrapFolder != nil {
		files = o.WrapFolder(o.Folder, folder)
	}
	if o.Seeds != nil {
		kept, err := keepInitialMembers(files, o.Members)
		if err != nil {
			// The instance still bootstraps the ledger unless it is restarted before.
			_ = o.Logger.Log("event", "initial_members_not_kept", "err", err)
		}
		o.Members = kept
	}
	storage, err := o.openWithRetry(files)
	if err != nil {
		_ = folder.Close()
		return nil, nil, fmt.Errorf("open ledger in %s: %w", o.Folder, err)
	}
	return storage, func() { _ = storage.Close(); _ = folder.Close() }, nil
}

// openWithRetry opens the ledger in a folder, and retries while the disk is
// full. Opening writes, because what was read must be synced before the
// instance may act on it.
func (o Options) openWithRetry(folder hornbeamwell.DataFolder) (hornbeamwell.LedgerStorage, error) {
	for tries := 0; ; tries++ {
		storage, err := disk.Open(folder, uuid.NewString)
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EDQUOT) {
			if tries > 0 {
				_ = o.Logger.Log("event", "storage_repaired", "tries", tries, "err", err)
			}
			return storage, err
		}
		if tries == 0 {
			_ = o.Logger.Log("event", "storage_failed", "at", "start", "err", err)
		}
		time.Sleep(repairInterval)
	}
}

func (o Options) coreConfig() coreConfig {
	voters := make([]hornbeamwell.LedgerMember, 0, len(o.Members))
	for _, m := range o.Members {
		voters = append(voters, hornbeamwell.LedgerMember{ID: m.ID, Zone: m.Zone, Address: m.Address})
	}
	slices.SortFunc(voters, func(a, b hornbeamwell.LedgerMember) int { return strings.Compare(a.ID, b.ID) })
	return coreConfig{
		self:               Endpoint{ID: o.ID, Address: o.Address},
		zone:               o.Zone,
		initialVoters:      voters,
		seeds:              o.Seeds,
		minCopies:          o.TolerateLosses + 1,
		maxVoters:          2*o.TolerateLosses + 1,
		catchUp:            o.CatchUp,
		timing:             o.Timing,
		limits:             o.Limits,
		random:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		newClusterIdentity: uuid.NewString,
	}
}

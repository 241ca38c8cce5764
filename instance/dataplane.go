package instance

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/oklog/run"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/proxy"
	"github.com/hornbeamwell/hornbeamwell/quota"
	"github.com/hornbeamwell/hornbeamwell/route"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/target"
)

const (
	// shareLeaseInterval is the time between two updates of the proxy's lease on
	// the shares of canary versions.
	shareLeaseInterval = 100 * time.Millisecond
	// defaultRefuseAfter is the time from the start of dataPlane.drain to the
	// refusal of callers' new calls. During it callers close their connections
	// and entry proxies learn that the target is draining.
	defaultRefuseAfter = time.Second
)

// dataPlane is the data plane of a process: the proxy, the subscriber that
// receives configurations for it, and the announcer of the local target.
type dataPlane struct {
	instance   *Instance
	proxy      *proxy.Proxy
	subscriber *delivery.Subscriber
	announcer  *target.Announcer

	callers, exit *gracefulServer
	// announce is nil if the embedding program receives the announcements.
	announce *gracefulServer
}

func newDataPlane(i *Instance) (*dataPlane, error) {
	d := &dataPlane{instance: i}
	d.proxy = proxy.New(proxy.Options{
		Instance:             i.settings.Instance,
		Zone:                 i.settings.Zone,
		Service:              i.settings.Proxy.Service,
		HeaderCodec:          i.headerCodec,
		Retries:              retryPolicy(i.settings.Retries),
		Quota:                quota.Bounds(i.settings.Quota),
		HedgeShare:           i.settings.Proxy.HedgeShare,
		LinkRate:             i.settings.Proxy.LinkRate,
		Connections:          i.connections,
		Grace:                i.settings.Stop.Grace,
		RequiresKeyLease:     i.settings.Proxy.RevokeAfter > 0,
		Logger:               i.logger,
		Tracer:               i.tracing.tracer(),
		Now:                  i.now,
		LeaseNow:             i.leaseNow,
		RecordsCompleteSince: i.recordsCompleteSince(),
		OnTargetLeaving:      func(incarnation uint64) { d.announcer.DrainIncarnation(i.now(), incarnation) },
	})
	d.subscriber = delivery.NewSubscriber(delivery.SubscriberOptions{
		ID:        i.settings.Instance,
		Zone:      i.settings.Zone,
		Address:   i.settings.Proxy.AdvertisedAddress(),
		Sources:   i.settings.Sources,
		Interests: i.settings.Proxy.Services,
		Apply:     d.apply,
		Evidence:  d.takeEvidence,
		Recorded:  d.setRecords,
		Departed:  d.setDepartures,
		Timing:    i.deliveryTiming(),
		Logger:    i.logger,
		Now:       i.leaseNow,
		Rand:      i.newRand(),
	})
	d.announcer = target.NewAnnouncer(target.AnnouncerOptions{
		ID:       i.settings.Instance,
		Zone:     i.settings.Zone,
		Service:  i.settings.Proxy.Service,
		Exit:     i.settings.Proxy.AdvertisedAddress(),
		OnChange: d.updateTarget,
		Logger:   i.logger,
		Now:      i.now,

		OnColdRemaining: d.proxy.SetColdRemaining,
	})
	return d, d.listen()
}

// contactAt returns the time since which the state of the proxy may have ceased to follow the
// leader's: up to the duration of a share lease before that ended.
func (d *dataPlane) contactAt() time.Time {
	return d.subscriber.ShareLeaseUntil().Add(-d.instance.deliveryTiming().ShareLease)
}

// setKeyLease sets the lease of API keys in the proxy.
func (d *dataPlane) setKeyLease() {
	d.proxy.SetKeyLease(d.contactAt().Add(d.instance.settings.Proxy.RevokeAfter))
}

// setListed tells the proxy until when the lists contain it: its target stays present for
// LeaseDuration after the session is lost.
func (d *dataPlane) setListed() { d.proxy.SetListed(d.contactAt().Add(target.LeaseDuration)) }

// retryPolicy returns the policy of the settings, with defaults for unset
// fields.
func retryPolicy(r settings.Retries) proxy.RetryPolicy {
	policy := proxy.DefaultRetryPolicy()
	policy.Ratio = cmp.Or(r.Ratio, policy.Ratio)
	if r.SharedReserve > 0 {
		policy.Reserve, policy.IsShared = r.SharedReserve, true
	}
	return policy
}

// recordsCompleteSince returns the time since which this process has a record of
// every keyed call. At a first start no earlier process can have run one, so the
// records are complete for a whole record lifetime.
func (i *Instance) recordsCompleteSince() time.Time {
	if i.isFirstStart {
		return i.now().Add(-route.RecordLifetime)
	}
	return i.now()
}

func (d *dataPlane) listen() error {
	addresses := d.instance.settings.Proxy
	var err error
	if d.callers, err = d.newServer(d.proxy.EntryServer(), addresses.Callers, connection.Options{Name: "callers", IdleTimeout: proxy.CallerIdleTimeout}, d.proxy.RefuseCall); err != nil {
		return err
	}
	if d.exit, err = d.newServer(d.proxy.ExitServer(), addresses.Exit, connection.Options{Name: "exit"}, d.proxy.RefuseAttempt); err != nil {
		return err
	}
	if !addresses.Announce.IsValid() {
		return nil
	}
	listener, err := d.instance.listen(addresses.Announce)
	if err != nil {
		return err
	}
	d.announce = d.instance.newServer(newHTTPServer(d.announcer.Handler()), listener, "announce")
	return nil
}

// newServer returns a server for calls.
func (d *dataPlane) newServer(server *http.Server, address netip.AddrPort, options connection.Options, refuse http.HandlerFunc) (*gracefulServer, error) {
	listener, err := d.instance.listen(address)
	if err != nil {
		return nil, err
	}
	options.BodyBytes = proxy.MaxHeldBody
	return newGracefulServer(server, listener).bound(d.instance.connections, options, refuse), nil
}

// apply puts a configuration and its targets in force in the proxy. The time of the
// subscriber is that of another clock than the proxy's.
func (d *dataPlane) apply(_ time.Time, update delivery.Update) error {
	if err := d.proxy.Update(d.instance.now(), update.Configuration, update.Targets); err != nil {
		return fmt.Errorf("put configuration version %d in force: %w", update.Configuration.Version, err)
	}
	if update.Configuration.Version > 0 {
		d.instance.ready.configured.Store(true)
	}
	d.setRecord(update.Targets)
	return nil
}

// setRecords tells the announcer what the source has of the targets that it announced.
func (d *dataPlane) setRecords(targets []hornbeamwell.Target) {
	for _, t := range targets {
		d.announcer.SetRecord(t)
	}
}

// setDepartures tells the announcer which departures of its target the ledger has.
func (d *dataPlane) setDepartures(departures []hornbeamwell.Departure) {
	for _, departure := range departures {
		d.announcer.SetDeparture(d.instance.now(), departure)
	}
}

// setRecord tells the announcer what the source has of the local target. The targets are
// sorted by ID.
func (d *dataPlane) setRecord(targets []hornbeamwell.Target) {
	id := d.instance.settings.Instance
	i, found := slices.BinarySearchFunc(targets, id, func(t hornbeamwell.Target, id string) int { return strings.Compare(t.ID, id) })
	if found {
		d.announcer.SetRecord(targets[i])
	}
}

func (d *dataPlane) takeEvidence() []hornbeamwell.Observation {
	return d.proxy.TakeEvidence(d.instance.now())
}

// updateTarget passes a change of the local target to the proxy and then to the
// sources. The proxy comes first, so that its exit refuses calls before other
// proxies stop sending them.
func (d *dataPlane) updateTarget(changed hornbeamwell.Target, local netip.AddrPort) {
	if local.IsValid() {
		d.proxy.SetLocalTarget(changed, local)
	}
	d.subscriber.AddInterest(changed.Service)
	d.subscriber.Announce(changed)
}

func (d *dataPlane) addActors(ctx context.Context, group *run.Group, stop context.CancelFunc) {
	limits := d.instance.shutdownLimits
	d.callers.addTo(ctx, group, limits)
	d.exit.addTo(ctx, group, limits)
	if d.announce != nil {
		d.announce.addTo(ctx, group, limits)
	}
	addActor(ctx, group, stop, d.subscriber.Run)
	addActor(ctx, group, stop, d.announcer.Run)
	addActor(ctx, group, stop, d.copyShareLease)
}

// copyShareLease copies the lease on the shares of canary versions, also one that
// has ended, from the subscriber to the proxy. It does so every shareLeaseInterval
// until the context ends.
func (d *dataPlane) copyShareLease(ctx context.Context) error {
	ticker := time.NewTicker(shareLeaseInterval)
	defer ticker.Stop()
	for {
		d.proxy.SetShareLease(d.subscriber.ShareLeaseUntil())
		d.setKeyLease()
		d.setListed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// drain asks callers and other proxies to close their connections and drains the
// local target, which receives no new calls from then on. After the configured
// time it refuses new calls of callers too, and waits for the calls in flight.
func (d *dataPlane) drain(ctx context.Context) error {
	d.proxy.DisableKeepAlives()
	// Drain fails only if there is no target to drain.
	_, _ = d.announcer.Drain(d.instance.now())
	select {
	case <-time.After(d.refuseAfter()):
	case <-ctx.Done():
	}
	d.callers.stopAccepting(ctx)
	if err := d.proxy.Drain(ctx); err != nil {
		return fmt.Errorf("wait for calls in flight: %w", err)
	}
	return nil
}

// refuseAfter returns the time from now until the caller's new calls are refused.
func (d *dataPlane) refuseAfter() time.Duration {
	if stop := d.instance.stop.Load(); stop != nil {
		return stop.RefuseAt().Sub(d.instance.now())
	}
	return cmp.Or(d.instance.settings.Stop.RefuseAfter, defaultRefuseAfter)
}

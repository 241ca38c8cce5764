package instance

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/delivery"
	"github.com/hornbeamwell/hornbeamwell/proxy"
	"github.com/hornbeamwell/hornbeamwell/route"
	"github.com/hornbeamwell/hornbeamwell/settings"
	"github.com/hornbeamwell/hornbeamwell/target"
)

const (
	// leaseCheck is the time between two looks at the lease of unproved
	// versions.
	leaseCheck = 100 * time.Millisecond
	// leavingTime lets callers close their connections, and every entry proxy
	// learn that the target leaves, before the proxy takes no more calls.
	leavingTime = time.Second
)

// traffic is the data path of a process and its ties to control.
type traffic struct {
	instance   *Instance
	proxy      *proxy.Proxy
	subscriber *delivery.Subscriber
	announcer  *target.Announcer

	callers, exit *gracefulServer
	// announce is nil where the embedding program takes the announcements.
	announce *gracefulServer
}

func newTraffic(i *Instance) (*traffic, error) {
	t := &traffic{instance: i}
	t.proxy = proxy.New(proxy.Options{
		Instance:             i.settings.Instance,
		Zone:                 i.settings.Zone,
		Service:              i.settings.Proxy.Service,
		HeaderCodec:          i.dialect,
		Retries:              retryPolicy(i.settings.Retries),
		LinkRate:             i.settings.Proxy.LinkRate,
		Logger:               i.logger,
		Tracer:               i.tracing.tracer(),
		Now:                  i.now,
		RecordsCompleteSince: i.recordsSince(),
	})
	t.subscriber = delivery.NewSubscriber(delivery.SubscriberOptions{
		ID:        i.settings.Instance,
		Zone:      i.settings.Zone,
		Address:   i.settings.Proxy.AdvertisedAddress(),
		Sources:   i.settings.Sources,
		Interests: i.settings.Proxy.Services,
		Apply:     t.apply,
		Evidence:  t.evidence,
		Timing:    i.timing(),
		Logger:    i.logger,
		Now:       i.now,
		Rand:      i.newRandom(),
	})
	t.announcer = target.NewAnnouncer(target.AnnouncerOptions{
		ID:       i.settings.Instance,
		Zone:     i.settings.Zone,
		Exit:     i.settings.Proxy.AdvertisedAddress(),
		OnChange: t.changeTarget,
		Logger:   i.logger,
		Now:      i.now,
	})
	return t, t.listen()
}

// retryPolicy fills in what the settings leave open.
func retryPolicy(r settings.Retries) proxy.RetryPolicy {
	policy := proxy.DefaultRetryPolicy()
	policy.Ratio = cmp.Or(r.Ratio, policy.Ratio)
	if r.SharedReserve > 0 {
		policy.Reserve, policy.IsShared = r.SharedReserve, true
	}
	return policy
}

// recordsSince is the time from which on this process knows of each call with a
// key. A first start has forgotten nothing.
func (i *Instance) recordsSince() time.Time {
	if i.firstStart {
		return i.now().Add(-route.RecordLifetime)
	}
	return i.now()
}

func (t *traffic) listen() error {
	addresses := t.instance.settings.Proxy
	var err error
	if t.callers, err = t.listenFor(t.proxy.EntryServer(), addresses.Callers); err != nil {
		return err
	}
	if t.exit, err = t.listenFor(t.proxy.ExitServer(), addresses.Exit); err != nil {
		return err
	}
	if !addresses.Announce.IsValid() {
		return nil
	}
	announce := &http.Server{Handler: t.announcer.Handler(), ReadHeaderTimeout: headerTimeout}
	t.announce, err = t.listenFor(announce, addresses.Announce)
	return err
}

func (t *traffic) listenFor(server *http.Server, address netip.AddrPort) (*gracefulServer, error) {
	listener, err := t.instance.listen(address)
	if err != nil {
		return nil, err
	}
	return newGracefulServer(server, listener), nil
}

// apply puts a configuration and its targets into force.
func (t *traffic) apply(now time.Time, update delivery.Update) error {
	if err := t.proxy.Update(now, update.Configuration, update.Targets); err != nil {
		return fmt.Errorf("put version %d into force: %w", update.Configuration.Version, err)
	}
	if update.Configuration.Version > 0 {
		t.instance.ready.configured.Store(true)
	}
	return nil
}

func (t *traffic) evidence() []hornbeamwell.Observation {
	return t.proxy.TakeEvidence(t.instance.now())
}

// changeTarget tells both sides of the target beside this process. The exit
// side learns first, so that it refuses work before others stop sending it.
func (t *traffic) changeTarget(changed hornbeamwell.Target, local netip.AddrPort) {
	t.proxy.SetLocalTarget(changed, local)
	t.subscriber.AddInterest(changed.Service)
	t.subscriber.Announce(changed)
}

func (t *traffic) addActors(parts context.Context, group *run.Group, stop context.CancelFunc) {
	t.callers.addTo(parts, group)
	t.exit.addTo(parts, group)
	if t.announce != nil {
		t.announce.addTo(parts, group)
	}
	addRun(parts, group, stop, t.subscriber.Run)
	addRun(parts, group, stop, t.announcer.Run)
	addRun(parts, group, stop, t.followLease)
}

// followLease hands the lease of unproved versions to the data path.
func (t *traffic) followLease(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		t.proxy.SetShareLease(t.subscriber.ShareLeaseUntil())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// drain lets callers, other proxies and the target beside this process leave,
// then waits for the calls in flight.
func (t *traffic) drain(ctx context.Context) error {
	t.proxy.DisableKeepAlives()
	// A process without a target has none to drain.
	_, _ = t.announcer.Drain(t.instance.now())
	select {
	case <-time.After(cmp.Or(t.instance.settings.Stop.RefuseAfter, leavingTime)):
	case <-ctx.Done():
	}
	t.callers.stopAccepting(ctx)
	if err := t.proxy.Drain(ctx); err != nil {
		return fmt.Errorf("wait for calls in flight: %w", err)
	}
	return nil
}

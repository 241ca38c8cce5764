package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	// keptRoutes is the number of generation routes in a configuration. A proxy
	// has to fall behind by as many changes before it lacks the route of a
	// generation that it served.
	keptRoutes = 40
	// answerTimeout bounds the resends of a change until its answer is known.
	answerTimeout = 40 * time.Second
	// readPause is the time between two reads of the version.
	readPause = 50 * time.Millisecond
	// moveDuration is the time of a move until its deadline, at the lower end
	// of what the users order.
	moveDuration = 12 * time.Second
	moveHold     = time.Second
	// moveEnd bounds the end of a move behind its deadline, with a site that
	// has to recover first.
	moveEnd = 60 * time.Second
	// exposureShare and exposureSlack bound the calls of a bad version, and
	// rollbackTime is when none may come any more after it was taken back, all
	// as the users ask.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	// quietTime is how long nothing may come then.
	quietTime = time.Second
)

// operator changes the configuration and checks what the control instances say
// of it.
type operator struct {
	r *runner
	// changing lets one change at a time remove routes.
	changing sync.Mutex

	mu sync.Mutex
	// version is the latest that was accepted, generation the newest route.
	version, generation uint64
	// generations are those whose change was accepted.
	generations []uint64
	// serving is the version of the booking service that serves its calls.
	serving               string
	changes, moves, reads int
}

func newOperator(r *runner) *operator { return &operator{r: r, serving: versionOld} }

// applyFirst applies the first configuration.
func (o *operator) applyFirst() error {
	return o.r.site.Apply(
		[]*schema.Service{
			{Name: serviceCredit, Versions: []*schema.TargetVersion{{Name: versionOld, Share: 10_000}}},
			{Name: serviceBooking, Versions: []*schema.TargetVersion{{Name: versionOld, Share: 10_000}, {Name: versionGood}, {Name: versionBad}}},
		},
		[]*schema.Route{
			NewRoute("post", "/credits", serviceCredit, false, "POST"),
			NewRoute("read", "/profiles", serviceCredit, true),
			NewRoute("book", "/bookings", serviceBooking, false, "POST"),
			NewRoute("slots", "/slots", serviceBooking, true),
			generationRoute(0),
		})
}

func generationRoute(generation uint64) *schema.Route {
	return NewRoute(fmt.Sprintf("generation-%d", generation), generationPath(generation), serviceCredit, true)
}

func generationPath(generation uint64) string { return fmt.Sprintf("/generation/%d/", generation) }

func (o *operator) accepted() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// newest returns the newest generation whose change was accepted.
func (o *operator) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.generations) == 0 {
		return 0
	}
	return slices.Max(o.generations)
}

func (o *operator) counts() (changes, moves, reads int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes, o.moves, o.reads
}

// accept keeps that a change was accepted.
func (o *operator) accept(version uint64, generation *uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = max(o.version, version)
	o.changes++
	if generation != nil {
		o.generations = append(o.generations, *generation)
	}
}

// change adds the route of the next generation and removes the oldest one.
func (o *operator) change(at int) string {
	o.changing.Lock()
	defer o.changing.Unlock()
	o.mu.Lock()
	o.generation++
	generation := o.generation
	o.mu.Unlock()
	request := &schema.ChangeRequest{RequestId: uuid.NewString(), Routes: []*schema.Route{generationRoute(generation)}}
	if generation >= keptRoutes {
		request.RemovedRoutes = []string{generationRoute(generation - keptRoutes).GetName()}
	}
	version, code := o.send(at, request)
	if version > 0 {
		o.accept(version, &generation)
		return fmt.Sprintf("changed to generation %d, version %d", generation, version)
	}
	if code == connect.CodeInvalidArgument || code == connect.CodeAborted {
		o.r.find("the change to generation %d was refused (%s), with no other change on the same base", generation, code)
	}
	return fmt.Sprintf("changed to generation %d, outcome unknown", generation)
}

// send sends a change, with the same id to one control instance after the
// other, until its answer is known or the time is over.
func (o *operator) send(at int, request *schema.ChangeRequest) (uint64, connect.Code) {
	var version uint64
	var code connect.Code
	_ = o.r.site.Eventually(answerTimeout, func(ctx context.Context, attempt int) error {
		response, err := o.r.site.OperatorClient(at+attempt).Change(ctx, connect.NewRequest(request))
		code = connect.CodeOf(err)
		if err == nil {
			version = response.Msg.GetVersion()
		}
		if code == connect.CodeInvalidArgument || code == connect.CodeAborted {
			err = nil
		}
		return err
	})
	return version, code
}

// race sends two changes on the same base through two control instances at
// once. One of them at most may win.
func (o *operator) race(at int) string {
	base := o.accepted()
	wins := make(chan uint64, 2)
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() {
			name := fmt.Sprintf("race-%d-%d", base, i)
			request := &schema.ChangeRequest{
				RequestId: uuid.NewString(), ExpectedVersion: &base,
				Routes: []*schema.Route{NewRoute(name, "/race/"+name, serviceCredit, true)},
			}
			if version, _ := o.send(at+i, request); version > 0 {
				o.accept(version, nil)
				wins <- version
			}
		})
	}
	both.Wait()
	if len(wins) > 1 {
		o.r.find("two changes on version %d were both accepted, as %d and %d", base, <-wins, <-wins)
		return ""
	}
	return fmt.Sprintf("raced on version %d, %d won", base, len(wins))
}

// read asks one control instance after the other for the version.
func (o *operator) read(ctx context.Context) {
	for i := 0; sleep(ctx, readPause); i++ {
		atLeast := o.accepted()
		version, err := o.readFrom(ctx, i)
		if err != nil {
			continue
		}
		o.mu.Lock()
		o.reads++
		o.mu.Unlock()
		if version < atLeast {
			o.r.find("%s answered a read with version %d, sent after the acceptance of %d", ControlID(i%len(o.r.site.Controls)), version, atLeast)
		}
	}
}

func (o *operator) readFrom(ctx context.Context, i int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := o.r.site.OperatorClient(i).Get(ctx, connect.NewRequest(&schema.GetRequest{VersionOnly: true}))
	if err != nil {
		return 0, fmt.Errorf("read the version: %w", err)
	}
	return response.Msg.GetConfiguration().GetVersion(), nil
}

// checkLast checks that the configuration holds every accepted change that no
// later one removed.
func (o *operator) checkLast() {
	var last *schema.Configuration
	err := o.r.site.Eventually(recoveryTime, func(ctx context.Context, attempt int) error {
		response, err := o.r.site.OperatorClient(attempt).Get(ctx, connect.NewRequest(&schema.GetRequest{}))
		if err == nil {
			last = response.Msg.GetConfiguration()
		}
		return err
	})
	if err != nil {
		o.r.find("the configuration cannot be read back: %v", err)
		return
	}
	names := map[string]bool{}
	for _, held := range last.GetRoutes() {
		names[held.GetName()] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, generation := range o.generations {
		if name := generationRoute(generation).GetName(); generation+keptRoutes > o.generation && !names[name] {
			go o.r.find("the accepted %s is lost in version %d", name, last.GetVersion())
		}
	}
}

// move moves the booking service to a version and waits for the end.
func (o *operator) move(ctx context.Context, to string) string {
	before := o.callsByVersion()
	m, err := o.startMove(to)
	if err != nil {
		return fmt.Sprintf("the move to %s was not started: %v", to, err)
	}
	o.r.say("moves to %s", to)
	m, err = o.awaitEnd(ctx, m.GetId())
	if err != nil {
		if ctx.Err() == nil {
			o.r.find("the move to %s did not end: %v", to, err)
		}
		return ""
	}
	o.mu.Lock()
	o.moves++
	if m.GetPhase() == string(hornbeamwell.PhaseDone) {
		o.serving = to
	}
	o.mu.Unlock()
	if to == versionBad {
		o.judgeBadMove(ctx, m, before)
	}
	return fmt.Sprintf("the move to %s ended as %s: %s", to, m.GetPhase(), m.GetReason())
}

func (o *operator) startMove(to string) (*schema.Move, error) {
	request := &schema.StartMoveRequest{
		RequestId: uuid.NewString(), Service: serviceBooking, To: to,
		Duration: durationpb.New(moveDuration), Hold: durationpb.New(moveHold),
	}
	var m *schema.Move
	var refused error
	err := o.r.site.Eventually(answerTimeout, func(ctx context.Context, attempt int) error {
		response, err := o.r.site.OperatorClient(attempt).StartMove(ctx, connect.NewRequest(request))
		if err == nil {
			m = response.Msg.GetMove()
			return nil
		}
		switch connect.CodeOf(err) {
		case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodeFailedPrecondition, connect.CodeAlreadyExists:
			refused, err = err, nil
		default:
		}
		return err
	})
	if err == nil {
		err = refused
	}
	return m, err
}

func (o *operator) awaitEnd(ctx context.Context, id string) (*schema.Move, error) {
	var last *schema.Move
	err := o.r.site.Eventually(moveDuration+moveEnd, func(asking context.Context, attempt int) error {
		select {
		case <-ctx.Done():
			return nil
		default:
		}
		response, err := o.r.site.OperatorClient(attempt).GetMove(asking, connect.NewRequest(&schema.GetMoveRequest{Id: id}))
		if err != nil {
			return err
		}
		if last = response.Msg.GetMove(); last.GetEndedAt() == nil {
			return fmt.Errorf("it is %s: %s", last.GetPhase(), last.GetReason())
		}
		return nil
	})
	if err == nil {
		err = ctx.Err()
	}
	return last, err
}

// callsByVersion returns the calls that came to the booking service's targets.
func (o *operator) callsByVersion() map[string]int64 {
	counts := map[string]int64{}
	for _, t := range o.r.site.Targets {
		if t.Service == serviceBooking {
			all, _ := t.Calls()
			counts[t.Version] += all
		}
	}
	return counts
}

// judgeBadMove checks how many calls a bad version got, and that none comes
// after it was taken back.
func (o *operator) judgeBadMove(ctx context.Context, m *schema.Move, before map[string]int64) {
	if m.GetPhase() != string(hornbeamwell.PhaseTakenBack) {
		o.r.find("the move to the bad version ended as %s: %s", m.GetPhase(), m.GetReason())
		return
	}
	after := o.callsByVersion()
	var all int64
	for version, count := range after {
		all += count - before[version]
	}
	exposed := after[versionBad] - before[versionBad]
	if allowed := int64(exposureShare*float64(all)) + exposureSlack; exposed > allowed {
		o.r.find("the bad version got %d of %d calls, %d are allowed: %s", exposed, all, allowed, m.GetReason())
	}
	if !sleep(ctx, rollbackTime) {
		return
	}
	settled := o.callsByVersion()[versionBad]
	if !sleep(ctx, quietTime) {
		return
	}
	if late := o.callsByVersion()[versionBad] - settled; late > 0 {
		o.r.find("%d calls came to the bad version more than %s after it was taken back", late, rollbackTime)
	}
}

// nextGood returns the good version that does not serve the calls.
func (o *operator) nextGood() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.serving == versionOld {
		return versionGood
	}
	return versionOld
}

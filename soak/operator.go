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
	// keptRoutes is the number of generation routes in a configuration. Each change
	// adds one and removes the one of keptRoutes generations earlier, so a proxy may
	// lack a route that it served only after that many more changes.
	keptRoutes = 40
	// resendTimeout bounds the resends of a change, or of the start of a move, until
	// its outcome is known.
	resendTimeout = 40 * time.Second
	// readPeriod is the time between two reads of the version.
	readPeriod = 50 * time.Millisecond
	// moveDuration is the time from the start of a move to its deadline. Deadlines
	// of 10 s to 20 s must be supported.
	moveDuration = 12 * time.Second
	moveHold     = time.Second
	// moveEndTimeout bounds the time from the deadline of a move to its end. The
	// site may have to recover first.
	moveEndTimeout = 60 * time.Second
	// exposureShare and exposureSlack bound the calls that a bad version may
	// receive. takenBackGrace is the time after its move was taken back from which
	// on it may receive none. All three are guarantees of the project.
	exposureShare  = 0.1
	exposureSlack  = 50
	takenBackGrace = 5 * time.Second
	// quietTime is the time after takenBackGrace for which the calls to a bad version
	// are counted. None may arrive in it.
	quietTime = time.Second
)

// operator changes the configuration and checks the responses of the control
// instances.
type operator struct {
	r *runner
	// changeMu serializes the changes of the generation routes, since each removes
	// the oldest route.
	changeMu sync.Mutex
	// bulkMu serializes the large changes and guards the two fields below it.
	bulkMu      sync.Mutex
	bulkNumber  int
	bulkChanges []bulkChange

	mu sync.Mutex
	// acceptedVersion is the highest version of an accepted change or race, 0 before
	// the first. lastGeneration is the newest generation that was sent.
	acceptedVersion, lastGeneration uint64
	// acceptedGenerations are the generations whose change was accepted.
	acceptedGenerations []uint64
	// serving is the version of the booking service that serves its calls.
	serving               string
	changes, moves, reads int
}

func newOperator(r *runner) *operator { return &operator{r: r, serving: versionOld} }

func (o *operator) applyInitial() error {
	return o.r.site.Apply(
		[]*schema.Service{
			{Name: serviceCredit, Versions: []*schema.TargetVersion{{Name: versionOld, Share: 10_000}}},
			{Name: serviceBooking, Versions: []*schema.TargetVersion{{Name: versionOld, Share: 10_000}, {Name: versionGood}, {Name: versionBad}}},
			{Name: serviceArchive, Versions: []*schema.TargetVersion{{Name: versionOld, Share: 10_000}}},
		},
		append(archiveRoutes(),
			NewRoute("post", "/credits", serviceCredit, false, "POST"),
			slowRoute(),
			NewRoute("read", "/profiles", serviceCredit, true),
			NewRoute("book", "/bookings", serviceBooking, false, "POST"),
			NewRoute("slots", "/slots", serviceBooking, true),
			generationRoute(0),
		))
}

func generationRoute(generation uint64) *schema.Route {
	return NewRoute(fmt.Sprintf("generation-%d", generation), generationPath(generation), serviceCredit, true)
}

func generationPath(generation uint64) string { return fmt.Sprintf("/generation/%d/", generation) }

func (o *operator) latestVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acceptedVersion
}

// newestGeneration returns the newest generation whose change was accepted. Before
// the first change it returns 0, the generation of the first configuration.
func (o *operator) newestGeneration() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.acceptedGenerations) == 0 {
		return 0
	}
	return slices.Max(o.acceptedGenerations)
}

func (o *operator) counts() (changes, moves, reads int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes, o.moves, o.reads
}

// recordAccepted records that a change was accepted. generation is nil if it
// added no generation route.
func (o *operator) recordAccepted(version uint64, generation *uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acceptedVersion = max(o.acceptedVersion, version)
	o.changes++
	if generation != nil {
		o.acceptedGenerations = append(o.acceptedGenerations, *generation)
	}
}

// change adds the route of the next generation and removes the oldest one. Each change
// has a generation of its own, whose route shows whether a proxy has the change in
// force.
func (o *operator) change(controlIndex int) string {
	o.changeMu.Lock()
	defer o.changeMu.Unlock()
	o.mu.Lock()
	o.lastGeneration++
	generation := o.lastGeneration
	o.mu.Unlock()
	request := &schema.ChangeRequest{RequestId: uuid.NewString(), Routes: []*schema.Route{generationRoute(generation)}}
	if generation >= keptRoutes {
		request.RemovedRoutes = []string{generationRoute(generation - keptRoutes).GetName()}
	}
	version, code := o.send(controlIndex, request)
	if version > 0 {
		o.recordAccepted(version, &generation)
		return fmt.Sprintf("changed to generation %d, version %d", generation, version)
	}
	if code == connect.CodeInvalidArgument || code == connect.CodeAborted {
		o.r.addFinding("the change to generation %d was refused (%s) although it is valid and expects no version", generation, code)
	}
	return fmt.Sprintf("changed to generation %d, outcome unknown", generation)
}

// send sends a change, with the same request id, to one control instance after
// the other until its outcome is known or resendTimeout has passed. It returns
// version 0 unless the change was accepted.
func (o *operator) send(controlIndex int, request *schema.ChangeRequest) (uint64, connect.Code) {
	var version uint64
	var code connect.Code
	_ = o.r.site.Eventually(resendTimeout, func(ctx context.Context, attempt int) error {
		response, err := o.r.site.OperatorClient(controlIndex+attempt).Change(ctx, connect.NewRequest(request))
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

// race sends two changes on the same base through two control instances at the
// same time. At most one may be accepted.
func (o *operator) race(controlIndex int) string {
	base := o.latestVersion()
	accepted := make(chan uint64, 2)
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() {
			name := fmt.Sprintf("race-%d-%d", base, i)
			request := &schema.ChangeRequest{
				RequestId: uuid.NewString(), ExpectedVersion: &base,
				Routes: []*schema.Route{NewRoute(name, "/race/"+name, serviceCredit, true)},
			}
			if version, _ := o.send(controlIndex+i, request); version > 0 {
				o.recordAccepted(version, nil)
				accepted <- version
			}
		})
	}
	both.Wait()
	if len(accepted) > 1 {
		o.r.addFinding("two changes on version %d were both accepted, as %d and %d", base, <-accepted, <-accepted)
		return ""
	}
	return fmt.Sprintf("raced on version %d, %d accepted", base, len(accepted))
}

// readLoop reads the version from one control instance after the other. A read
// must not return an older version than was accepted before it.
func (o *operator) readLoop(ctx context.Context) {
	for i := 0; sleep(ctx, readPeriod); i++ {
		atLeast := o.latestVersion()
		version, err := o.readVersion(ctx, i)
		if err != nil {
			continue
		}
		o.mu.Lock()
		o.reads++
		o.mu.Unlock()
		if version < atLeast {
			o.r.addFinding("%s returned version %d for a read sent after the acceptance of %d", ControlID(i%len(o.r.site.Controls)), version, atLeast)
		}
	}
}

func (o *operator) readVersion(ctx context.Context, i int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := o.r.site.OperatorClient(i).Get(ctx, connect.NewRequest(&schema.GetRequest{VersionOnly: true}))
	if err != nil {
		return 0, fmt.Errorf("read the version: %w", err)
	}
	return response.Msg.GetConfiguration().GetVersion(), nil
}

// checkConfiguration checks that the configuration holds the route of every
// accepted generation that no later change can have removed.
func (o *operator) checkConfiguration() {
	var configuration *schema.Configuration
	err := o.r.site.Eventually(recoveryTimeout, func(ctx context.Context, attempt int) error {
		response, err := o.r.site.OperatorClient(attempt).Get(ctx, connect.NewRequest(&schema.GetRequest{}))
		if err == nil {
			configuration = response.Msg.GetConfiguration()
		}
		return err
	})
	if err != nil {
		o.r.addFinding("the configuration cannot be read after the recovery: %v", err)
		return
	}
	names := map[string]bool{}
	for _, route := range configuration.GetRoutes() {
		names[route.GetName()] = true
	}
	o.checkBulkChanges(names)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, generation := range o.acceptedGenerations {
		if name := generationRoute(generation).GetName(); generation+keptRoutes > o.lastGeneration && !names[name] {
			go o.r.addFinding("the accepted route %s is missing in version %d", name, configuration.GetVersion())
		}
	}
}

// runMove moves the booking service to a version and waits for the end of the
// move. It checks a move to the bad version.
func (o *operator) runMove(ctx context.Context, to string) string {
	before := o.callsByVersion()
	m, err := o.startMove(to)
	if err != nil {
		return fmt.Sprintf("the move to %s was not started: %v", to, err)
	}
	o.r.logf("moving to %s", to)
	m, err = o.awaitMove(ctx, m.GetId())
	if err != nil {
		if ctx.Err() == nil {
			o.r.addFinding("the move to %s did not end: %v", to, err)
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
		o.checkBadMove(ctx, m, before)
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
	err := o.r.site.Eventually(resendTimeout, func(ctx context.Context, attempt int) error {
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

func (o *operator) awaitMove(ctx context.Context, id string) (*schema.Move, error) {
	var last *schema.Move
	err := o.r.site.Eventually(moveDuration+moveEndTimeout, func(requestCtx context.Context, attempt int) error {
		select {
		case <-ctx.Done():
			return nil
		default:
		}
		response, err := o.r.site.OperatorClient(attempt).GetMove(requestCtx, connect.NewRequest(&schema.GetMoveRequest{Id: id}))
		if err != nil {
			return err
		}
		if last = response.Msg.GetMove(); last.GetEndedAt() == nil {
			return fmt.Errorf("move is in phase %s: %s", last.GetPhase(), last.GetReason())
		}
		return nil
	})
	if err == nil {
		err = ctx.Err()
	}
	return last, err
}

// callsByVersion returns the calls received by the targets of the booking
// service.
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

// checkBadMove checks that a move to the bad version was taken back, how many
// calls this version received, and that it receives none from takenBackGrace
// after the end of the move.
func (o *operator) checkBadMove(ctx context.Context, m *schema.Move, before map[string]int64) {
	if m.GetPhase() != string(hornbeamwell.PhaseTakenBack) {
		o.r.addFinding("the move to the bad version ended as %s: %s", m.GetPhase(), m.GetReason())
		return
	}
	after := o.callsByVersion()
	var all int64
	for version, count := range after {
		all += count - before[version]
	}
	exposed := after[versionBad] - before[versionBad]
	if allowed := int64(exposureShare*float64(all)) + exposureSlack; exposed > allowed {
		o.r.addFinding("the bad version received %d of %d calls, at most %d are allowed: %s", exposed, all, allowed, m.GetReason())
	}
	if !sleep(ctx, takenBackGrace) {
		return
	}
	settled := o.callsByVersion()[versionBad]
	if !sleep(ctx, quietTime) {
		return
	}
	if late := o.callsByVersion()[versionBad] - settled; late > 0 {
		o.r.addFinding("%d calls reached the bad version more than %s after it was taken back", late, takenBackGrace)
	}
}

// nextGoodVersion returns the good version that does not serve the calls.
func (o *operator) nextGoodVersion() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.serving == versionOld {
		return versionGood
	}
	return versionOld
}

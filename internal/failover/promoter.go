package failover

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/policy/promotion"
	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/internal/terms"
	"github.com/sirupsen/logrus"
)

const (
	// orderTimeout is the time that one order to a target (fence, promote or follow) or status call may take.
	orderTimeout = 400 * time.Millisecond
	// storeTimeout is the time that one call to the platform may take within a promotion.
	storeTimeout = 800 * time.Millisecond
	// eventBuffer is the largest number of answers that wait to be handled; the goroutines of further answers block.
	eventBuffer = 32
)

// promoter carries out one promotion. The calls to targets and to the platform run in goroutines of their own, and
// their answers come in as events; run handles one event at a time.
type promoter struct {
	controller *controller
	promotion  *promotion.Promotion
	events     chan promotion.Event
	timer      *time.Timer
	term       uint64
	began      time.Time
}

// promote runs a promotion until it is finished or abandoned, or ctx ends. It starts none when the term record cannot
// be read or does not allow to open the next term (promotion.DecideRecord).
func (c *controller) promote(ctx context.Context, decision promotion.TriggerDecision) {
	record, version, err := c.readRecord(ctx)
	if err != nil {
		logrus.WithFields(logrus.Fields{logfield.Group: c.group.Name, logfield.Error: err}).Warn(logevent.PromotionNotStarted)
		_ = clock.Sleep(ctx, promotionRetryDelay)
		return
	}
	compared := promotion.DecideRecord(c.term, record)
	if compared.Action != promotion.RecordOpenNext {
		logrus.WithFields(compared.Fields()).Info(logevent.PromotionNotStarted)
		c.options.Terms.Observe(terms.FromRecord(record))
		_ = clock.Sleep(ctx, promotionRetryDelay)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &promoter{controller: c, events: make(chan promotion.Event, eventBuffer), began: time.Now(), term: record.Term + 1}
	p.timer = time.NewTimer(time.Hour)
	defer p.timer.Stop()
	var orders []promotion.Order
	p.promotion, orders = promotion.New(c.config(decision), record, version, p.began)
	p.run(ctx, orders)
	if p.promotion.Step() == promotion.StepAbandoned {
		_ = clock.Sleep(ctx, promotionRetryDelay)
	}
}

// config returns the configuration of a promotion, which avoids the present primary and the targets that are leaving.
func (c *controller) config(decision promotion.TriggerDecision) promotion.Config {
	config := promotion.Config{
		Group: c.group.Name, Promoter: c.options.Self, ChangeID: newChangeID(), Reason: string(decision.Reason),
	}
	for _, spec := range c.group.Targets {
		config.Targets = append(config.Targets, spec.Name)
		if c.options.IsLeaving(spec.Name) || spec.Name == c.term.Primary {
			config.Avoid = append(config.Avoid, spec.Name)
		}
	}
	return config
}

// run carries out orders and handles their answers until the promotion is done or ctx ends.
func (p *promoter) run(ctx context.Context, orders []promotion.Order) {
	for {
		for _, order := range orders {
			p.carryOut(ctx, order)
		}
		if p.promotion.IsDone() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case event := <-p.events:
			p.announceEvent(event)
			orders = p.promotion.Handle(event, time.Now())
		case <-p.timer.C:
			orders = p.promotion.Handle(promotion.Tick{}, time.Now())
		}
	}
}

// announceEvent makes the result of an event known: an opened term to this daemon, a promoted target to all daemons.
// It is called before the promotion handles the event.
func (p *promoter) announceEvent(event promotion.Event) {
	c := p.controller
	switch e := event.(type) {
	case promotion.RecordWritten:
		if p.promotion.Step() == promotion.StepOpen {
			c.options.Terms.Observe(api.GroupTerm{Group: c.group.Name, Term: p.term})
		}
	case promotion.PromoteAnswered:
		// Only the promoter that opened a term promotes in it, and only one target, so the new primary may be used
		// before the term record names it.
		if e.IsPrimary && e.Term == p.term {
			c.options.Daemons.Announce(api.GroupTerm{Group: c.group.Name, Term: p.term, Primary: e.Target, Start: e.Start})
		}
	}
}

// carryOut starts an order; its answer is posted as an event.
func (p *promoter) carryOut(ctx context.Context, order promotion.Order) {
	p.logOrder(order)
	switch o := order.(type) {
	case promotion.WakeAt:
		p.timer.Reset(max(time.Until(o.At), 0))
	case promotion.WriteRecord:
		go p.writeRecord(ctx, o)
	case promotion.ReadRecord:
		go p.readRecord(ctx)
	case promotion.Fence:
		go p.fence(ctx, o)
	case promotion.Promote:
		go p.promote(ctx, o)
	case promotion.Follow:
		go p.follow(ctx, o)
	case promotion.Finished:
		counters.Add("promotions_finished", 1)
	case promotion.Abandoned:
		counters.Add("promotions_abandoned", 1)
	}
}

func (p *promoter) logOrder(order promotion.Order) {
	if _, isWake := order.(promotion.WakeAt); isWake {
		return
	}
	logrus.WithFields(order.Fields()).WithFields(logrus.Fields{
		logfield.Group: p.controller.group.Name, logfield.Step: p.promotion.Step().String(), logfield.Elapsed: time.Since(p.began),
	}).Info(logevent.PromotionStep)
}

// post queues an event for run. It drops the event when ctx ends.
func (p *promoter) post(ctx context.Context, event promotion.Event) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}

// writeRecord writes the term record if it still has the version of the order, and posts the result.
func (p *promoter) writeRecord(ctx context.Context, order promotion.WriteRecord) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	data, err := json.Marshal(order.Record)
	if err != nil {
		return
	}
	object := api.Object{Kind: objectstore.KindTerm, Name: order.Record.Group, Version: order.Version, Data: data}
	store := p.controller.options.Store
	var stored api.Object
	if order.Version == 0 {
		stored, err = store.Create(call, object)
	} else {
		stored, err = store.Update(call, object)
	}
	switch {
	case err == nil:
		p.post(ctx, promotion.RecordWritten{Version: stored.Version})
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrExists):
		p.post(ctx, promotion.RecordConflict{})
	default:
		p.post(ctx, promotion.RecordUnknown{})
	}
}

func (p *promoter) readRecord(ctx context.Context) {
	record, version, err := p.controller.readRecord(ctx)
	if err != nil {
		p.post(ctx, promotion.RecordReadFailed{})
		return
	}
	p.post(ctx, promotion.RecordRead{Record: record, Version: version})
}

// readRecord returns the term record and its version; both are zero when there is none.
func (c *controller) readRecord(ctx context.Context) (api.TermRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := c.options.Store.Get(ctx, objectstore.KindTerm, c.group.Name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return api.TermRecord{}, 0, nil
	}
	if err != nil {
		return api.TermRecord{}, 0, err
	}
	record, err := terms.DecodeRecord(object)
	if err != nil {
		return api.TermRecord{}, 0, err
	}
	return record, object.Version, nil
}

// fence fences a target and posts its answer; other failures than a refusal post none.
func (p *promoter) fence(ctx context.Context, order promotion.Fence) {
	status, err := p.controller.callTarget(ctx, order.Target, func(ctx context.Context, control *target.Control) (target.Status, error) {
		return control.Fence(ctx, order.Term)
	})
	if term, refused := refusedTerm(err); refused {
		p.postRefusedFence(ctx, order, term)
		return
	}
	if err == nil {
		p.post(ctx, promotion.FenceAnswered{Target: order.Target, Term: status.Term, Received: status.LogPosition()})
	}
}

// postRefusedFence posts the answer of a target that refused a fence because it is at that term or a later one
// already. A repeated fence is refused as well, so the position of the target is requested with a status call.
func (p *promoter) postRefusedFence(ctx context.Context, order promotion.Fence, term uint64) {
	status, err := p.controller.callTarget(ctx, order.Target, func(ctx context.Context, control *target.Control) (target.Status, error) {
		return control.Status(ctx, 0, 0)
	})
	if err == nil {
		p.post(ctx, promotion.FenceAnswered{Target: order.Target, Term: max(term, status.Term), Received: status.LogPosition()})
	}
}

func (p *promoter) promote(ctx context.Context, order promotion.Promote) {
	status, err := p.controller.callTarget(ctx, order.Target, func(ctx context.Context, control *target.Control) (target.Status, error) {
		return control.Promote(ctx, order.Term)
	})
	if term, refused := refusedTerm(err); refused {
		p.post(ctx, promotion.PromoteAnswered{Target: order.Target, Term: term})
		return
	}
	if err != nil {
		return
	}
	p.post(ctx, promotion.PromoteAnswered{
		Target: order.Target, Term: status.Term, IsPrimary: status.Role == target.RolePrimary, Start: status.LogPosition(),
	})
}

func (p *promoter) follow(ctx context.Context, order promotion.Follow) {
	status, err := p.controller.callTarget(ctx, order.Target, p.controller.followCall(order))
	if term, refused := refusedTerm(err); refused {
		p.post(ctx, promotion.FollowAnswered{Target: order.Target, Term: term})
		return
	}
	if err != nil {
		return
	}
	p.post(ctx, promotion.FollowAnswered{Target: order.Target, Term: status.Term, IsFollowing: status.Role == target.RoleReplica})
}

func (c *controller) followCall(order promotion.Follow) func(context.Context, *target.Control) (target.Status, error) {
	address := c.spec(order.Primary).Address
	return func(ctx context.Context, control *target.Control) (target.Status, error) {
		return control.Follow(ctx, order.Term, address)
	}
}

// callTarget opens a control connection to a target, makes one call on it within orderTimeout, and closes it.
func (c *controller) callTarget(ctx context.Context, name string, call func(context.Context, *target.Control) (target.Status, error)) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	control, err := target.DialControl(ctx, c.spec(name).Address, c.options.Target)
	if err != nil {
		return target.Status{}, err
	}
	defer func() { _ = control.Close() }()
	return call(ctx, control)
}

func (c *controller) spec(name string) api.TargetSpec {
	for _, spec := range c.group.Targets {
		if spec.Name == name {
			return spec
		}
	}
	return api.TargetSpec{}
}

// refusedTerm returns the term of the target when err says that it refused an order because the order's term was too
// low for it, and whether that is the case.
func refusedTerm(err error) (uint64, bool) {
	var refusal *target.TermTooLowError
	if errors.As(err, &refusal) {
		return refusal.TargetTerm, true
	}
	return 0, false
}

// newChangeID returns a random ID for a promotion, of 96 bits so that no two promotions have the same.
func newChangeID() string {
	var id [12]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

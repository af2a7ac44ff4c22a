package model

import (
	"fmt"

	"github.com/papayacove/papayacove/internal/policy/promotion"
)

// promoter is a daemon that runs at most one promotion at a time. It can pause between any two steps,
// and a crash makes it lose the state of its promotion.
type promoter struct {
	simulation *simulation
	name       string
	current    *promotion.Promotion
	started    int
}

func (p *promoter) begin() {
	if p.current != nil {
		return
	}
	p.started++
	cfg := promotion.Config{
		Group:    "group",
		Targets:  p.simulation.names(),
		Promoter: p.name,
		Validity: p.simulation.waitAfterFence,
		ChangeID: fmt.Sprintf("%s-%d", p.name, p.started),
	}
	current, orders := promotion.New(cfg, p.simulation.record, p.simulation.version, p.simulation.now)
	p.current = current
	p.sendOrders(orders)
}

func (p *promoter) crash() {
	p.current = nil
}

func (p *promoter) handle(e promotion.Event) {
	if p.current == nil {
		return
	}
	p.sendOrders(p.current.Handle(e, p.simulation.now))
}

// sendOrders sends the orders. It ignores WakeAt: the run chooses when a Tick comes.
func (p *promoter) sendOrders(orders []promotion.Order) {
	sender := p.current
	deliver := func(answer any) {
		if p.current == sender {
			p.handle(answer.(promotion.Event))
		}
	}
	for _, order := range orders {
		switch o := order.(type) {
		case promotion.Fence:
			p.simulation.send(o.Target, o, deliver)
		case promotion.Promote:
			p.simulation.send(o.Target, o, deliver)
		case promotion.Follow:
			p.simulation.send(o.Target, o, deliver)
		case promotion.WriteRecord, promotion.ReadRecord:
			p.simulation.send("platform", o, deliver)
		case promotion.Finished:
			p.simulation.stats.finished++
			p.current = nil
		case promotion.Abandoned:
			p.simulation.stats.abandoned++
			p.current = nil
		}
	}
}

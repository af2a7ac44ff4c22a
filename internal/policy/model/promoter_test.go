package model

import (
	"fmt"

	"github.com/papayacove/papayacove/internal/policy/promotion"
)

// promoter is a daemon that may run one promotion at a time. It can pause between any two steps
// and forget its promotion in a crash.
type promoter struct {
	world   *world
	name    string
	current *promotion.Promotion
	started int
}

func (p *promoter) begin() {
	if p.current != nil {
		return
	}
	p.started++
	cfg := promotion.Config{
		Group:    "group",
		Targets:  p.world.names(),
		Promoter: p.name,
		Validity: p.world.settle,
		ChangeID: fmt.Sprintf("%s-%d", p.name, p.started),
	}
	current, orders := promotion.New(cfg, p.world.record, p.world.version, p.world.now)
	p.current = current
	p.carry(orders)
}

func (p *promoter) crash() {
	p.current = nil
}

func (p *promoter) handle(e promotion.Event) {
	if p.current == nil {
		return
	}
	p.carry(p.current.Handle(e, p.world.now))
}

// carry sends out orders; the Tick that WakeAt asks for comes whenever the run chooses.
func (p *promoter) carry(orders []promotion.Order) {
	asked := p.current
	deliver := func(answer any) {
		if p.current == asked {
			p.handle(answer.(promotion.Event))
		}
	}
	for _, order := range orders {
		switch o := order.(type) {
		case promotion.Fence:
			p.world.send(o.Target, o, deliver)
		case promotion.Promote:
			p.world.send(o.Target, o, deliver)
		case promotion.Follow:
			p.world.send(o.Target, o, deliver)
		case promotion.WriteRecord, promotion.ReadRecord:
			p.world.send("platform", o, deliver)
		case promotion.Finished:
			p.world.stats.finished++
			p.current = nil
		case promotion.Abandoned:
			p.world.stats.abandoned++
			p.current = nil
		}
	}
}

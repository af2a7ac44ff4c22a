package lines

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// PromotionOrder is an order to promote a target as the provider received it.
type PromotionOrder struct {
	// Holder is the name of the daemon that held the promotion lock and sent the order.
	Holder string
	// Token is the fencing token of the lock.
	Token uint64
	// Target is the id of the target to promote, Group the name of its group.
	Target, Group string
}

// Provider stands in for the service of the platform that promotes targets. Its methods are safe for concurrent use.
type Provider struct {
	server   *http.Server
	listener net.Listener
	groups   map[string]*Group

	// Refuse makes the provider refuse every order, as it does if the target isn't running.
	Refuse atomic.Bool

	// cut holds the source IP addresses whose orders and answers don't arrive.
	cut sync.Map

	mu     sync.Mutex
	orders []PromotionOrder
	faults OrderFaults
	// watchers are called with the source IP address of the next order for a group, which waits for them.
	watchers map[string]func(source string)
}

// OrderFaults are the faults that are injected into the orders to promote that arrive. The zero value stands for none.
type OrderFaults struct {
	// EffectDelay is the time before an order takes effect, beside that which a promotion takes.
	EffectDelay time.Duration
	// AnswerDelay is the time from the effect to the answer.
	AnswerDelay time.Duration
	// LoseAnswers resets the connection of an order at once. The order takes effect nevertheless.
	LoseAnswers bool
}

// SetFaults sets the faults of later orders.
func (p *Provider) SetFaults(faults OrderFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// NewProvider starts a provider for groups on a loopback port.
func NewProvider(groups ...*Group) (*Provider, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Provider{listener: listener, groups: map[string]*Group{}, watchers: map[string]func(string){}}
	for _, g := range groups {
		p.groups[g.Name] = g
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// URL returns the base URL.
func (p *Provider) URL() string { return "http://" + p.listener.Addr().String() }

// Close stops the provider.
func (p *Provider) Close() { _ = p.server.Close() }

// Orders returns the orders received so far, refused ones included.
func (p *Provider) Orders() []PromotionOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PromotionOrder(nil), p.orders...)
}

func (p *Provider) promote(w http.ResponseWriter, r *http.Request) {
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	if p.isCut(source) {
		reset(w)
		return
	}
	var body struct{ Backend, Id string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	p.mu.Lock()
	p.orders = append(p.orders, PromotionOrder{r.Header.Get("Lease-Holder"), token, body.Id, body.Backend})
	faults, watcher := p.faults, p.watchers[body.Backend]
	delete(p.watchers, body.Backend)
	p.mu.Unlock()
	if watcher != nil {
		watcher(source)
	}
	g, ok := p.groups[body.Backend]
	if p.Refuse.Load() || !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if faults.LoseAnswers {
		go promoteLate(g, body.Id, faults)
		reset(w)
		return
	}
	promoted := promoteLate(g, body.Id, faults)
	if p.isCut(source) {
		reset(w)
		return
	}
	if !promoted {
		w.WriteHeader(http.StatusConflict)
	}
}

func (p *Provider) isCut(source string) bool {
	_, cut := p.cut.Load(source)
	return cut
}

// onNextOrder calls a function with the source IP address of the next order for a group, before it is carried out; nil
// ends that.
func (p *Provider) onNextOrder(group string, do func(source string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers[group] = do
}

// promoteLate carries out an order with its faults, and reports whether the target is running.
func promoteLate(g *Group, id string, faults OrderFaults) bool {
	time.Sleep(faults.EffectDelay)
	promoted := g.Promote(id)
	time.Sleep(faults.AnswerDelay)
	return promoted
}

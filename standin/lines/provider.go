package lines

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
)

// PromotionOrder is an order to promote a target as the provider received it.
type PromotionOrder struct {
	// Holder is the name of the daemon that held the promotion lock and sent the order.
	Holder string
	// Token is the fencing token of the lock.
	Token uint64
	// Target is the id of the target to promote.
	Target string
}

// Provider stands in for the service of the platform that promotes targets. Its methods are safe for concurrent use.
type Provider struct {
	server   *http.Server
	listener net.Listener
	groups   map[string]*Group

	// Refuse makes the provider refuse every order, as it does if the target isn't running.
	Refuse atomic.Bool

	// cut holds the source IP addresses whose orders don't arrive.
	cut sync.Map

	mu     sync.Mutex
	orders []PromotionOrder
}

// NewProvider starts a provider for groups on a loopback port.
func NewProvider(groups ...*Group) (*Provider, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Provider{listener: listener, groups: map[string]*Group{}}
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
	if source, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if _, cut := p.cut.Load(source); cut {
			reset(w)
			return
		}
	}
	var body struct{ Backend, Id string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	p.mu.Lock()
	p.orders = append(p.orders, PromotionOrder{r.Header.Get("Lease-Holder"), token, body.Id})
	p.mu.Unlock()
	if g, ok := p.groups[body.Backend]; p.Refuse.Load() || !ok || !g.Promote(body.Id) {
		w.WriteHeader(http.StatusConflict)
	}
}

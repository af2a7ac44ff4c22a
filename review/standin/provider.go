package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// order is an order to promote as the provider received it.
type order struct {
	holder   string
	token    uint64
	database string
}

// provider carries out orders to promote. It does not check fences.
type provider struct {
	listener net.Listener
	group    *group
	record   *record

	mu     sync.Mutex
	orders []order
}

func newProvider(address string, g *group, r *record) (*provider, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &provider{listener: listener, group: g, record: r}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.servePromote)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return p, nil
}

func (p *provider) servePromote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Backend string `json:"Backend"`
		ID      string `json:"Id"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	o := order{r.Header.Get("Lease-Holder"), token, body.ID}
	p.mu.Lock()
	p.orders = append(p.orders, o)
	p.mu.Unlock()
	accepted := p.group.promote(body.ID)
	p.record.printf("promote %s by %s with token %d: accepted %v", o.database, o.holder, o.token, accepted)
	if !accepted {
		answer(w, http.StatusConflict, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (p *provider) received() []order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]order(nil), p.orders...)
}

package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// storeOf is the store as one daemon sees it.
type storeOf struct {
	*world
	name string
}

// call counts a call, and fails as the store does for this daemon.
func (s storeOf) call(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	s.calls++
	m := s.store[s.name]
	s.mu.Unlock()
	if m == silent {
		select {
		case <-time.After(wait + storeTimeout):
		case <-ctx.Done():
		}
		return fmt.Errorf("%w: no answer", objectstore.ErrUnavailable)
	}
	time.Sleep(callTime / 2)
	if m == refuses {
		return fmt.Errorf("%w: status 503", objectstore.ErrUnavailable)
	}
	return nil
}

func (s storeOf) List(ctx context.Context, kind string) (api.ObjectList, error) {
	if err := s.call(ctx, 0); err != nil {
		return api.ObjectList{}, err
	}
	s.mu.Lock()
	list := api.ObjectList{Era: s.era, Revision: s.revision}
	for _, o := range s.objects {
		if o.Kind == kind {
			o.Era = s.era
			list.Objects = append(list.Objects, o)
		}
	}
	s.mu.Unlock()
	time.Sleep(callTime / 2)
	return list, nil
}

func (s storeOf) Watch(ctx context.Context, after uint64, wait time.Duration, kinds ...string) (api.ObjectList, error) {
	if err := s.call(ctx, wait); err != nil {
		return api.ObjectList{}, err
	}
	end := time.After(wait)
	for {
		s.mu.Lock()
		m, compacted := s.store[s.name], s.compacted
		list, changed := s.changesAfter(after, kinds[0]), s.changed
		s.mu.Unlock()
		switch {
		case m == silent:
			return api.ObjectList{}, s.call(ctx, wait)
		case m == refuses:
			return api.ObjectList{}, fmt.Errorf("%w: connection reset", objectstore.ErrUnavailable)
		case after < compacted:
			return api.ObjectList{}, objectstore.ErrCompacted
		case len(list.Objects) > 0:
			time.Sleep(callTime / 2)
			return list, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return api.ObjectList{}, ctx.Err()
		case <-end:
			return list, nil
		}
	}
}

// changesAfter returns the changes of a kind. The caller holds the lock.
func (w *world) changesAfter(after uint64, kind string) api.ObjectList {
	list := api.ObjectList{Era: w.era, Revision: max(w.revision, after)}
	if w.revision < after {
		list.Revision = w.revision
	}
	for _, o := range w.changes {
		if o.Version > after && o.Kind == kind && o.Era == w.era {
			list.Objects = append(list.Objects, o)
		}
	}
	return list
}

// peersOf is the network as one daemon sees it.
type peersOf struct {
	*world
	name string
}

var errNoAnswer = errors.New("no answer")

func (p peersOf) Feed(ctx context.Context, address string, request *api.FeedRequest) (*api.FeedReply, error) {
	if p.calm {
		return p.daemons[address].feed.Feed(request), nil
	}
	p.mu.Lock()
	isCut := p.split && p.daemons[address].zone != p.daemons[p.name].zone
	p.mu.Unlock()
	if isCut {
		time.Sleep(300 * time.Millisecond)
		return nil, errNoAnswer
	}
	reply := make(chan *api.FeedReply, 1)
	go func() { reply <- p.daemons[address].feed.Feed(request) }()
	probe := time.NewTicker(500 * time.Millisecond)
	defer probe.Stop()
	for {
		select {
		case r := <-reply:
			p.mu.Lock()
			m, lie := p.peers[address], p.lie[address]
			p.mu.Unlock()
			if m == silent {
				time.Sleep(500 * time.Millisecond)
				return nil, errNoAnswer
			}
			if lie != nil {
				lie(r)
			}
			return r, nil
		case <-probe.C:
			p.mu.Lock()
			m := p.peers[address]
			p.mu.Unlock()
			if m == silent {
				return nil, errNoAnswer
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

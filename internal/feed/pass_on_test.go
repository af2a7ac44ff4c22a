package feed

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/watching"
	"github.com/papayacove/papayacove/platform"
)

var errUnreadable = errors.New("unreadable")

// encodings returns a reply as JSON and as it is sent.
func encodings(t *testing.T, reply *api.FeedReply) []byte {
	t.Helper()
	var encoded bytes.Buffer
	if err := errors.Join(json.NewEncoder(&encoded).Encode(reply), gob.NewEncoder(&encoded).Encode(reply)); err != nil {
		t.Fatalf("encode a reply: %v", err)
	}
	return encoded.Bytes()
}

// TestRepliesHoldNoKey looks for each key in the replies to a list and to watches, of a daemon that has read the
// configuration from the store and of one that got it from that one.
func TestRepliesHoldNoKey(t *testing.T) {
	const first, second = `{"Version":1,"Tenants":[{"Name":"a","ApiKeys":["secret-1","secret-2"]}]}`, `{"Version":2,"Tenants":[{"Name":"a","ApiKeys":["secret-3",["secret-4"]]},{"ApiKeys":"secret-5"}]}`
	source := object("main", 15)
	source.Data = []byte(first)
	for range 2 {
		h := newTestHub()
		h.passOn = platform.WithoutKeys
		h.apply(api.ObjectList{Era: 1, Revision: 20, Objects: []api.Object{source}})
		changed := object("main", 25)
		changed.Data = []byte(second)
		h.apply(api.ObjectList{Era: 1, Revision: 30, Objects: []api.Object{changed}})
		list := request(0, 0)
		list.List = true
		for name, r := range map[string]*api.FeedRequest{"list": list, "all changes": request(10, 0), "last change": request(20, 0)} {
			reply := h.answer(t.Context(), r)
			if reply.Outcome != outcomeOK || len(reply.Objects) != 1 || bytes.Contains(encodings(t, reply), []byte("secret")) {
				t.Errorf("%s: got %q, want one object without a key", name, encodings(t, reply))
			}
			source = reply.Objects[0]
		}
	}
}

// TestObjectThatCannotBeFreedOfKeysIsNotPassedOn expects the outcome that sends readers to the store, until there is a
// version that can be passed on, the object is deleted, or there is a later era.
func TestObjectThatCannotBeFreedOfKeysIsNotPassedOn(t *testing.T) {
	h := newTestHub()
	h.passOn = func(o api.Object) (api.Object, error) {
		if string(o.Data) == "secret" {
			return o, errUnreadable
		}
		return o, nil
	}
	revision := uint64(10)
	take := func(change func(*api.Object)) {
		revision += 10
		o := object("main", revision-5)
		change(&o)
		h.apply(api.ObjectList{Era: o.Era, Revision: revision, Objects: []api.Object{o}})
	}
	expect := func(want string) {
		t.Helper()
		list := request(0, 0)
		list.List = true
		last := request(revision-10, 0)
		list.Era, last.Era = h.era, h.era
		for _, r := range []*api.FeedRequest{list, last} {
			reply := h.answer(t.Context(), r)
			if reply.Outcome != want || want == outcomeLarge && len(reply.Objects) > 0 || bytes.Contains(encodings(t, reply), []byte("secret")) {
				t.Errorf("got outcome %s and objects %v, want %s", reply.Outcome, reply.Objects, want)
			}
		}
		if reply := h.answer(t.Context(), &api.FeedRequest{Kind: keys, Era: h.era, After: revision}); reply.Outcome != outcomeOK {
			t.Errorf("got outcome %s without a change, want %s", reply.Outcome, outcomeOK)
		}
	}
	bad := func(o *api.Object) { o.Data = []byte("secret") }
	take(bad)
	expect(outcomeLarge)
	take(func(*api.Object) {})
	expect(outcomeOK)
	take(bad)
	take(func(o *api.Object) { o.Deleted, o.Data = true, nil })
	expect(outcomeOK)
	take(bad)
	h.apply(api.ObjectList{Era: 2, Revision: revision, Objects: []api.Object{{Kind: keys, Name: "main", Era: 2, Version: revision - 5, Data: []byte("{}")}}})
	list := &api.FeedRequest{Kind: keys, Era: 2, List: true}
	if reply := h.answer(t.Context(), list); reply.Outcome != outcomeOK {
		t.Errorf("got outcome %s in a later era, want %s", reply.Outcome, outcomeOK)
	}
}

// TestReadersGetWithheldObjectsFromStore expects an object that is not passed on to be in force everywhere, as the store
// has it, and later ones as they are passed on.
func TestReadersGetWithheldObjectsFromStore(t *testing.T) {
	inWorld(t, 26, func(w *world) {
		w.expectAll("config/main", w.write(keys, "main", "withheld", false), time.Second)
		for _, name := range w.names {
			if data := string(w.daemons[name].state["config/main"].Data); data != "withheld" {
				t.Errorf("%s has %q, want what the store has", name, data)
			}
		}
		w.expectAll("config/main", w.write(keys, "main", "secret", false), time.Second)
		w.expectProofs(w.names, proofBound)
		for _, name := range w.withRole(watching.RoleReader, "") {
			if data := string(w.daemons[name].state["config/main"].Data); data != "digest" {
				t.Errorf("%s has %q from another daemon, want what may be passed on", name, data)
			}
		}
	})
}

// passOn stands for a transformation that takes "secret" out of objects and fails for one of them.
func passOn(o api.Object) (api.Object, error) {
	if string(o.Data) == "withheld" {
		return api.Object{}, errUnreadable
	}
	o.Data = []byte(strings.ReplaceAll(string(o.Data), "secret", "digest"))
	return o, nil
}

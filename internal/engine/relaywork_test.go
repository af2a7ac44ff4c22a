package engine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
)

// heldWrites are relayed statements whose target holds writes until it is released.
type heldWrites struct {
	holder  *Engine
	session *RelaySession
	target  *fakeTarget
	// workspace is that of the statements.
	workspace string
	reached   chan string
	release   chan struct{}

	mu  sync.Mutex
	ran map[string]bool
}

// newHeldWrites returns the holder of a target that holds writes.
func newHeldWrites() *heldWrites {
	w := &heldWrites{reached: make(chan string, 100), release: make(chan struct{}), ran: map[string]bool{}}
	w.target = &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		if c.Op != OpWrite {
			state := StateIdle
			if c.Op == OpBegin {
				state = StateOpen
			}
			return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: 1}}, nil
		}
		w.mu.Lock()
		w.ran[c.ID] = true
		w.mu.Unlock()
		w.reached <- c.ID
		<-w.release
		state := StateIdle
		if c.Text == "in transaction" {
			state = StateOpen
		}
		return Reply{Signature: c.ID, State: state, Position: api.Position{Term: 1, Offset: 1}}, nil
	}}
	n, engines := newRelayedEngines(w.target, 10, scarceLimits, strictRoute)
	name, _ := holderOf(engines[0])
	w.holder = n.engines[name]
	w.session = w.holder.NewRelaySession("sender")
	return w
}

// send sends a statement and returns the channel of its reply.
func (w *heldWrites) send(id string, op Operation, transaction uint64) <-chan *api.RelayReply {
	e := execution{command: Command{ID: id, Op: op, Text: "w"}, deadline: time.Now().Add(10 * time.Second), state: sessionState{unchanged: true}}
	e.startBy, e.lateUntil, e.workspace = e.deadline, e.deadline, w.workspace
	if transaction != 0 {
		e.command.Text = "in transaction"
	}
	request := relayRequest("g", "a", transaction, e)
	replies := make(chan *api.RelayReply, 1)
	go func() { replies <- w.session.Run(request) }()
	return replies
}

// TestLostReplyNamesItsStatement guards against a holder whose logs do not tell how a statement ended that its sender
// got no reply to.
func TestLostReplyNamesItsStatement(t *testing.T) {
	hook := logtest.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks))
	w := newHeldWrites()
	reply := w.send("lost", OpWrite, 0)
	<-w.reached
	w.holder.plannedStop.Store(&plannedStop{began: time.Now()})
	w.holder.LogRelaysCut()
	w.session.Disconnected()
	close(w.release)
	<-reply
	w.holder.LogRelaysCut()
	for event, step := range map[string]string{logevent.RelayStatementCut: "sent", logevent.RelayNotAnswered: "answered"} {
		lines := logged(hook, event)
		if len(lines) != 1 {
			t.Fatalf("got %d lines of %s, want 1", len(lines), event)
		}
		for field, want := range map[string]string{
			logfield.Request: "lost", logfield.Operation: "write", logfield.Step: step, logfield.Target: "a", logfield.InTransaction: "false", logfield.Peer: "sender",
		} {
			if got := fmt.Sprint(lines[0].Data[field]); got != want {
				t.Errorf("%s: got %s %q, want %q", event, field, got, want)
			}
		}
		if _, ok := lines[0].Data[logfield.SinceStop].(time.Duration); !ok {
			t.Errorf("%s: got %s %v, want a duration", event, logfield.SinceStop, lines[0].Data[logfield.SinceStop])
		}
	}
	if cuts := logged(hook, logevent.RelaysCut); len(cuts) != 1 || cuts[0].Data[logfield.Statements] != 1 {
		t.Errorf("got %d lines of relayed statements that were cut, want 1 line of 1 statement", len(cuts))
	}
}

// ranCount returns the number of writes that the target has got.
func (w *heldWrites) ranCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ran)
}

// awaitRelayed waits until as many statements of other daemons are in progress as wanted says.
func (w *heldWrites) awaitRelayed(t *testing.T, wanted func() int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		statements, _ := w.holder.relayedWork()
		if len(statements) == wanted() {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("got %d statements of other daemons in progress, want %d", len(statements), wanted())
		}
	}
}

// TestStoppedHolderRefusesWhatWaits guards against statements of other daemons that are cut, or sent to the target
// later, when the holder ends while they wait.
func TestStoppedHolderRefusesWhatWaits(t *testing.T) {
	for _, workspace := range []string{"", "w"} {
		const sent = 20
		w := newHeldWrites()
		w.workspace = workspace
		replies := map[string]<-chan *api.RelayReply{}
		for i := range sent {
			id := fmt.Sprint(i)
			replies[id] = w.send(id, OpWrite, 0)
		}
		<-w.reached
		w.awaitRelayed(t, func() int { return sent })
		w.holder.stopping.Store(true)
		w.holder.endRelayWaits()
		w.awaitRelayed(t, w.ranCount)
		close(w.release)
		for id, reply := range replies {
			r := <-reply
			refused := result.Code(r.NotRunCode) == result.NotRunDraining
			if refused == w.ran[id] || !refused && r.Signature != id {
				t.Errorf("workspace %q, %s: got %+v, want %s as its target has got it: %t", workspace, id, r, result.NotRunDraining, w.ran[id])
			}
		}
		if ran := w.ranCount(); ran == 0 || ran == sent {
			t.Errorf("workspace %q: got %d statements at the target, want some that were there and some that waited", workspace, ran)
		}
	}
}

// TestStoppedHolderRefusesWhatWaitsForAClosingConnection guards against statements of other daemons that wait for the
// place of a connection that is being closed when the holder ends.
func TestStoppedHolderRefusesWhatWaitsForAClosingConnection(t *testing.T) {
	closing, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	target := &fakeTarget{closed: func(*fakeConnection) {
		close(closing)
		<-release
	}}
	p := target.pool(1, 1)
	conn, err := p.acquire(requestOf("w"))
	if err != nil {
		t.Fatal(err)
	}
	conn.broken = true
	p.release(conn)
	<-closing
	wanted := requestOf("w")
	waits, end := context.WithCancel(t.Context())
	wanted.waits = waits
	refused := make(chan error, 1)
	go func() {
		_, err := p.acquire(wanted)
		refused <- err
	}()
	for p.queue.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	end()
	select {
	case err := <-refused:
		if !result.CodeOf(err).IsNotRun() {
			t.Errorf("got %v, want a refusal", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the statement waits on after the end")
	}
}

// TestLostSenderKeepsNoTransactionsOpen guards against locks of a sender that is gone, which last until its other
// statements end: these may wait for the locks.
func TestLostSenderKeepsNoTransactionsOpen(t *testing.T) {
	w := newHeldWrites()
	w.holder.configuration.IdleTransaction = time.Hour
	begun := <-w.send("begin", OpBegin, 0)
	waiting := w.send("waiting", OpWrite, 0)
	<-w.reached
	w.session.Disconnected()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, open := w.holder.relayedWork(); open == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("transaction %d is open after its sender is gone", begun.Transaction)
		}
	}
	close(w.release)
	<-waiting
	w.session.Close()
	awaitNoRelayed(t, w.holder)
}

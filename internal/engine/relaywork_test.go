package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// heldWrite is a relayed statement that its target holds until it is released.
type heldWrite struct {
	holder  *Engine
	session *RelaySession
	target  *fakeTarget
	reached chan string
	release chan struct{}
}

// newHeldWrites returns the holder of a target that holds writes.
func newHeldWrites() *heldWrite {
	w := &heldWrite{reached: make(chan string, 100), release: make(chan struct{})}
	w.target = &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
		if c.Op != OpWrite {
			state := StateIdle
			if c.Op == OpBegin {
				state = StateOpen
			}
			return Reply{Signature: "s", State: state, Position: api.Position{Term: 1, Offset: 1}}, nil
		}
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
func (w *heldWrite) send(id string, op Operation, transaction uint64) <-chan *api.RelayReply {
	e := execution{command: Command{ID: id, Op: op, Text: "w"}, deadline: time.Now().Add(10 * time.Second), state: sessionState{unchanged: true}}
	e.startBy, e.lateUntil = e.deadline, e.deadline
	if transaction != 0 {
		e.command.Text = "in transaction"
	}
	request := relayRequest("g", "a", transaction, e)
	replies := make(chan *api.RelayReply, 1)
	go func() { replies <- w.session.Run(request) }()
	return replies
}

// TestLostReplyNamesItsStatement guards against a holder whose logs do not tell how a statement ended that its sender got no
// reply to.
func TestLostReplyNamesItsStatement(t *testing.T) {
	hook := logtest.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(make(logrus.LevelHooks))
	w := newHeldWrites()
	reply := w.send("lost", OpWrite, 0)
	<-w.reached
	w.holder.stoppedAt.Store(int64(clock.SinceBoot()))
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

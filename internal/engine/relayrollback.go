package engine

import (
	"errors"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/callers"
)

const (
	// lostRollbackWithin is the time for which a sender tries to roll back a transaction that it has lost, longer than a
	// connection stays open whose probe is not answered. lostRollbackInterval is the time between two attempts.
	lostRollbackWithin   = time.Second
	lostRollbackInterval = 50 * time.Millisecond
)

// heldTransaction names an open transaction at another daemon: the connection on which it began, its number there, its
// target, and the identity that it began with.
type heldTransaction struct {
	connection    PeerConnection
	number        uint64
	group, target string
	identity      callers.Identity
}

// rollbackRequest returns the request to roll the transaction back by the deadline.
func (t heldTransaction) rollbackRequest(deadline time.Time) *api.RelayRequest {
	return relayRequest(t.group, t.target, t.number, execution{
		command: Command{Op: OpRollback}, state: sessionState{unchanged: true}, deadline: deadline,
		connectionRequest: connectionRequest{workspace: t.identity.Workspace, key: t.identity.Key},
	})
}

// rollBack rolls the transaction back.
func (t heldTransaction) rollBack() error {
	deadline := time.Now().Add(rollbackTimeout)
	_, err := t.connection.Run(t.rollbackRequest(deadline), deadline)
	return err
}

// rollBackLost rolls back a transaction that the sender has lost, unless its holder has done so with the end of the
// connection. Otherwise it would keep its locks until the limit of idle transactions.
func (t heldTransaction) rollBackLost() {
	for end := time.Now().Add(lostRollbackWithin); time.Now().Before(end); time.Sleep(lostRollbackInterval) {
		err := t.rollBack()
		if !errors.Is(err, ErrPeerNotReached) || errors.Is(err, ErrPeerConnectionEnded) {
			return
		}
	}
}

// held returns the open transaction of the lease.
func (l *relayedLease) held() heldTransaction {
	return heldTransaction{l.connection, l.transaction, l.group.name, l.member.name, l.identity}
}

// rollBack rolls the open transaction back. If its holder is not reached, another attempt follows while the connection
// is open; if it does not answer, it rolls back itself, when the request arrives or the connection ends.
func (l *relayedLease) rollBack() {
	held := l.held()
	l.end()
	err := held.rollBack()
	if err == nil || errors.Is(err, ErrPeerConnectionEnded) {
		return
	}
	l.group.peers.avoid(l.address, peerAvoidance, err)
	if errors.Is(err, ErrPeerNotReached) {
		l.group.inBackground(held.rollBackLost)
	}
}

package engine

import (
	"context"
	"errors"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// Caller is the connection of one session.
type Caller interface {
	// Next returns the next statement. It fails with ErrIdle when none arrived before the deadline; the zero time stands
	// for no deadline. It fails with ErrInterrupted after a call of Interrupt that no call of Next has returned yet.
	Next(deadline time.Time) (Statement, error)
	// NextArrived returns the next statement if it has arrived, whatever Interrupt says. It waits for a short time for the
	// rest of a statement of which a part has arrived, and fails with ErrIdle when there is none.
	NextArrived() (Statement, error)
	// Interrupt ends the wait of Next, or of the following call if there is none. It may be called at any time.
	Interrupt()
	// Answer sends the whole answer to the last statement.
	Answer(answer Answer) error
	// Close ends the connection.
	Close() error
}

// ErrIdle means that no statement arrived before the deadline.
var ErrIdle = errors.New("no statement in the given time")

// ErrInterrupted means that the wait for a statement was interrupted.
var ErrInterrupted = errors.New("the wait for a statement was interrupted")

// Connection is one connection to a target. One exchange runs at a time.
type Connection interface {
	// Exchange sends the commands at once and returns their replies in order. After an error the connection is
	// unusable, and commands without a reply may have run.
	Exchange(deadline time.Time, commands ...Command) ([]Reply, error)
	// IsClosedByPeer reports whether the target has closed the connection.
	IsClosedByPeer() bool
	Close() error
	// Abort ends the connection so that commands that were sent and have not arrived are not delivered later.
	Abort() error
}

// Dialer opens connections to targets.
type Dialer interface {
	// Dial connects to the target on behalf of a workspace, or of no particular one if workspace is empty, and checks
	// that the target has the expected name. It fails with a *TargetFailure when the target refuses.
	Dial(ctx context.Context, target Target, workspace string) (Connection, error)
}

// Promoter orders promotions.
type Promoter interface {
	// Promote makes a target the primary of its group. The fencing token rises with each change of the holder of
	// the promotion lock. It fails with ErrTargetDown when the target does not run, and with ErrOrderRefused when the
	// order was not carried out for another reason. After any other error, it may have taken effect or may still do
	// so.
	Promote(ctx context.Context, group, target string, token uint64) error
}

// ErrTargetDown means that a promotion was refused because the target does not run.
var ErrTargetDown = errors.New("target is not running")

// ErrOrderRefused means that an order to promote was not carried out and will not be.
var ErrOrderRefused = errors.New("order to promote was refused")

// PromotionLock is the lock that a daemon must hold to order promotions of a group. One daemon holds it at a time.
type PromotionLock interface {
	// Acquire acquires the lock. old is the primary to be replaced under it, if it is known.
	Acquire(ctx context.Context, group string, old takeover.OldPrimary) (takeover.Hold, error)
	// Observe reads the record of the lock, so that the wait for the end of a hold that it names begins.
	Observe(ctx context.Context, group string) error
	// Release releases the lock. The term is that to which the last promotion ordered under it led, 0 if the outcome of
	// an order is unknown, and takeover.NothingOrdered if none was sent.
	Release(ctx context.Context, group string, term uint64)
	// SettledTerm returns the term to which the last promotion of the group led, leadership.NoPromotion if there was
	// none. It fails if the lock is held, or if that term is not known. No later promotion was begun, under the lock,
	// when the call was made.
	SettledTerm(ctx context.Context, group string) (term uint64, err error)
}

// LockSettler completes the records of promotion locks.
type LockSettler interface {
	// Settle has the record of the promotion lock of a group state the term to which the last promotion led, if it does
	// not, while it holds the lock. prove returns that term, proved by statuses asked for after the call, or false. It
	// fails if the record states no term yet.
	Settle(ctx context.Context, group string, prove func() (term uint64, ok bool)) error
}

// TargetLister lists the entries of targets.
type TargetLister interface {
	// ListTargets returns the readable entries of all targets of a group, as they were at some time after the call began.
	ListTargets(ctx context.Context, group string) ([]Target, error)
}

// LossRegistry keeps in the store which replicas are lost, for daemons that start after their loss.
type LossRegistry interface {
	// Record stores a loss. It does not fail if it is stored already.
	Record(ctx context.Context, loss api.LostReplica) error
	// Forget removes a loss. It does not fail if there is none.
	Forget(ctx context.Context, group, replica string) error
	// List returns all losses that can be read.
	List(ctx context.Context) ([]api.LostReplica, error)
}

// Quota limits the operations of workspaces over all daemons. Its methods may be called concurrently.
type Quota interface {
	// Spend takes the right to one operation of a workspace. It waits for a right that is under way until the deadline
	// at most, and returns when the right was taken, on the boot clock. It fails with a *result.Error of NotRunOverQuota,
	// which says when to come back.
	Spend(workspace string, deadline time.Time) (takenAt time.Duration, err error)
	// Return gives back the right that was taken at a time by an operation that certainly did not run.
	Return(workspace string, takenAt time.Duration)
}

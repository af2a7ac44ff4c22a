package feed

import (
	"errors"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
)

// Bounds of what another daemon may send. Beyond them its reply is not used.
const (
	maxNameBytes = 1024
	// maxRevisionStep and maxEraStep bound how much later than what is known here an answer may be, so that a number
	// without sense does not make all later answers look old.
	maxRevisionStep = 1 << 40
	maxEraStep      = 1 << 10
	// maxProofAge bounds the age of a proof, and the time by which it may be later than the arrival of the request.
	maxProofAge = 24 * time.Hour
)

// The errors of a request to another daemon.
var (
	errLost    = errors.New("the daemon does not follow the store")
	errBehind  = errors.New("the daemon knows less")
	errInvalid = errors.New("the reply is not valid")
	// errLarge means that the answer is to be read from the store.
	errLarge = errors.New("the changes are too many to pass on")
)

// listOf checks a reply to a request for objects of the kind, which named what is known here, and returns its objects.
func listOf(kind string, request *api.FeedRequest, reply *api.FeedReply) (api.ObjectList, error) {
	switch reply.Outcome {
	case outcomeOK, outcomeGone, outcomeLarge:
	case outcomeBehind:
		return listOfBehind(request, reply)
	case outcomeUnknown:
		return api.ObjectList{}, errLost
	default:
		return api.ObjectList{}, fmt.Errorf("%w: outcome %.20q", errInvalid, reply.Outcome)
	}
	if err := checkReply(kind, request, reply); err != nil {
		return api.ObjectList{}, err
	}
	switch reply.Outcome {
	case outcomeGone:
		return api.ObjectList{}, objectstore.ErrCompacted
	case outcomeLarge:
		return api.ObjectList{}, errLarge
	}
	return api.ObjectList{Era: reply.Era, Revision: reply.Revision, Objects: reply.Objects}, nil
}

// listOfBehind returns what a daemon tells that knows of no later revision than this one. Revisions rise with changes of
// all kinds, and each daemon learns of them when its own watch ends, so that in the same era nothing of the kind is missing
// there up to its proof. It has no list that may be used, and of another era nothing.
func listOfBehind(request *api.FeedRequest, reply *api.FeedReply) (api.ObjectList, error) {
	if request.List || reply.Era != request.Era || len(reply.Objects) > 0 {
		return api.ObjectList{}, errBehind
	}
	if err := checkBounds(reply); err != nil {
		return api.ObjectList{}, err
	}
	return api.ObjectList{Era: request.Era, Revision: request.After}, nil
}

// checkReply fails with errInvalid or errBehind if the reply cannot be true.
func checkReply(kind string, request *api.FeedRequest, reply *api.FeedReply) error {
	knowsNothing := request.After == 0 && request.Era == 0
	switch {
	case reply.Era < request.Era || reply.Era == request.Era && reply.Revision < request.After:
		return errBehind
	case !knowsNothing && reply.Era-request.Era > maxEraStep:
		return fmt.Errorf("%w: era %d after %d", errInvalid, reply.Era, request.Era)
	case !knowsNothing && reply.Era == request.Era && reply.Revision-request.After > maxRevisionStep:
		return fmt.Errorf("%w: revision %d after %d", errInvalid, reply.Revision, request.After)
	}
	if err := checkBounds(reply); err != nil {
		return err
	}
	for _, o := range reply.Objects {
		if err := checkObject(kind, reply, o); err != nil {
			return err
		}
	}
	return nil
}

// checkBounds fails with errInvalid if a time in the reply makes no sense.
func checkBounds(reply *api.FeedReply) error {
	offset := reply.ProofOffsetUs
	limit := maxProofAge.Microseconds()
	switch {
	case reply.HasProof && (offset > limit || offset < -limit):
		return fmt.Errorf("%w: a proof %d us before the request", errInvalid, offset)
	case reply.SettledMs < 0:
		return fmt.Errorf("%w: settled for %d ms", errInvalid, reply.SettledMs)
	}
	return nil
}

func checkObject(kind string, reply *api.FeedReply, o api.Object) error {
	switch {
	case o.Kind != kind:
		return fmt.Errorf("%w: an object of kind %.40q", errInvalid, o.Kind)
	case o.Name == "" || len(o.Name) > maxNameBytes:
		return fmt.Errorf("%w: an object with a name of %d bytes", errInvalid, len(o.Name))
	case o.Era != reply.Era:
		return fmt.Errorf("%w: %.40q is of era %d", errInvalid, o.Name, o.Era)
	case o.Version == 0 || o.Version > reply.Revision && o.Version-reply.Revision > maxRevisionStep:
		return fmt.Errorf("%w: %.40q has version %d", errInvalid, o.Name, o.Version)
	}
	return nil
}

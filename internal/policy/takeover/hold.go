package takeover

import (
	"slices"
	"time"
)

// Hold is a hold of the promotion lock.
type Hold struct {
	// Token is the fencing token of the lock.
	Token uint64
	// Until is the time of the boot clock until which the lock is held.
	Until time.Duration
	// Old is the last primary that is known to be replaced under the lock, by this hold or an earlier one.
	Old OldPrimary
}

// OldPrimary is the primary that is replaced, with the term that it led. The zero value stands for none that is known.
type OldPrimary struct {
	Name string
	Term uint64
}

// Awaited returns those of the lost replicas that a promotion waits for. The old primary is none of them if no target
// has led since, newestTerm being the newest term of any: a commit whose success was passed on is held by another
// listed replica, and what the old primary alone has was never confirmed.
func Awaited(lost []string, old OldPrimary, newestTerm uint64) []string {
	return slices.DeleteFunc(lost, func(name string) bool { return name == old.Name && newestTerm == old.Term })
}

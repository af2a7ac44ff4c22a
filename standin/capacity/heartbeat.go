package capacity

import (
	"context"
	"fmt"
	"github.com/papayacove/papayacove/internal/clock"
	"time"
)

const (
	// zones is the number of availability zones over which members and targets are distributed.
	zones = 8
	// heartbeatSettle is the wait for the members to connect before heartbeats are measured.
	heartbeatSettle = 2 * time.Second
	// heartbeatWindow is how long heartbeats are measured.
	heartbeatWindow = 3 * time.Second
	// fewGroups is the number of groups while the number of members is varied.
	fewGroups = 3
	// fewMembers is the number of members while the number of groups is varied.
	fewMembers = 5
)

// memberCounts are the measured numbers of members. Both ends of all their connections are in this process, so the
// process's limit of open files bounds them.
var memberCounts = []int{5, 20, 48}

// heartbeatLoad is the cost of the heartbeats of all members.
type heartbeatLoad struct {
	members int
	rate    Rate
	// exchanges is the number of answered heartbeats per second.
	exchanges float64
	// memory is the number of bytes of heap and stacks that the members use.
	memory int64
}

// perDaemon returns the bytes per second that one member sends and receives. The process writes each byte once and
// receives it once, as all members are in it.
func (l heartbeatLoad) perDaemon() float64 {
	return 2 * l.rate.Written / float64(l.members)
}

// perExchange returns the bytes of a heartbeat and its reply.
func (l heartbeatLoad) perExchange() float64 {
	return l.rate.Written / l.exchanges
}

// measureHeartbeats runs members that know the terms of some groups and measures their heartbeats. It fails unless each
// member has a live link to each other.
func measureHeartbeats(ctx context.Context, count, groups int) (heartbeatLoad, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	empty := memoryInUse()
	members, err := startMembers(ctx, count, groups)
	if err != nil {
		return heartbeatLoad{}, err
	}
	defer closeMembers(members)
	if err := clock.Sleep(ctx, heartbeatSettle); err != nil {
		return heartbeatLoad{}, err
	}
	if live, all := liveLinks(members), count*(count-1); live < all {
		return heartbeatLoad{}, fmt.Errorf("%d of %d links between members are live", live, all)
	}
	before := answeredHeartbeats(members)
	rate, err := measureRate(ctx, 0, heartbeatWindow)
	if err != nil {
		return heartbeatLoad{}, err
	}
	exchanges := float64(answeredHeartbeats(members)-before) / rate.Elapsed.Seconds()
	memory := memoryInUse() - empty
	return heartbeatLoad{members: count, rate: rate, exchanges: exchanges, memory: memory}, nil
}

// answeredHeartbeats returns the number of heartbeats that the members have answered.
func answeredHeartbeats(members []*member) int64 {
	var total int64
	for _, m := range members {
		total += m.answered.Load()
	}
	return total
}

// measureMembers measures heartbeats while the number of members varies.
func measureMembers(ctx context.Context) ([]Result, error) {
	var results []Result
	for _, count := range memberCounts {
		load, err := measureHeartbeats(ctx, count, fewGroups)
		if err != nil {
			return nil, err
		}
		suffix := fmt.Sprintf("_%d_members", count)
		processor := load.rate.Processor / float64(count)
		results = append(results,
			Result{"heartbeat_bytes_per_daemon" + suffix, load.perDaemon(), "B/s"},
			Result{"heartbeat_bytes_per_peer" + suffix, load.perDaemon() / float64(count-1), "B/s"},
			Result{"heartbeat_processor_per_daemon" + suffix, 100 * processor, "%core"},
			Result{"heartbeat_processor_per_peer" + suffix, 100 * processor / float64(count-1), "%core"},
			Result{"heartbeat_memory_per_peer" + suffix, float64(load.memory) / float64(count*(count-1)), "B"},
			Result{"heartbeat_exchanges_per_peer" + suffix, load.exchanges / float64(count*(count-1)), "1/s"},
		)
	}
	return results, nil
}

// measureTerms measures heartbeats while the number of groups whose terms the members know varies.
func measureTerms(ctx context.Context) ([]Result, error) {
	var results []Result
	for _, groups := range []int{10, 100, 600} {
		load, err := measureHeartbeats(ctx, fewMembers, groups)
		if err != nil {
			return nil, err
		}
		suffix := fmt.Sprintf("_%d_groups", groups)
		perPeer := load.rate.Processor / float64(fewMembers*(fewMembers-1))
		results = append(results,
			Result{"heartbeat_bytes_per_exchange" + suffix, load.perExchange(), "B"},
			Result{"heartbeat_bytes_per_peer" + suffix, load.perDaemon() / float64(fewMembers-1), "B/s"},
			Result{"heartbeat_processor_per_peer" + suffix, 100 * perPeer, "%core"},
		)
	}
	return results, nil
}

package router

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/policy/retry"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	read  = api.ExecuteRequestAccessRead
	write = api.ExecuteRequestAccessWrite
	// strict is the allowed age of strict reads.
	strict = time.Duration(-1)
)

func at(offset uint64) api.Position { return api.Position{Term: 2, Offset: offset} }

func TestMayRepeatOnlyWhatDidNotRun(t *testing.T) {
	repeated := map[result.Code]bool{
		result.NotRunNoPrimary: true, result.NotRunNotHolder: true, result.NotRunDraining: true,
		result.NotRunNoMajority: true, result.NotRunNoSlot: true, result.NotRunUnreachable: true,
		result.NotRunTargetLeaving: true, result.NotRunTermChanged: true,
	}
	for code := result.Code(0); code < 6000; code++ {
		again := isRepeated(code)
		if again != repeated[code] {
			t.Errorf("retry of code %d: got %v, want the opposite", code, again)
		}
		if again && !code.IsNotRun() {
			t.Errorf("retry of code %d: got true, want false as the write may have run", code)
		}
	}
}

// isRepeated reports whether a write that failed with a code is tried again.
func isRepeated(code result.Code) bool {
	now := time.Now()
	request := retry.Policy{}.New(retry.Write, now.Add(time.Minute), now)
	return request.Failed(retry.Failure{Code: code}, now).Retry
}

func TestTransactionFailure(t *testing.T) {
	tests := map[result.Code]result.Code{
		result.NotRunUnreachable: result.TransactionLost,
		result.AnswerInterrupted: result.TransactionLost,
		result.OutcomeUnknown:    result.OutcomeUnknown,
		result.AlreadyRan:        result.AlreadyRan,
	}
	for code, want := range tests {
		if got := transactionFailure(result.Errorf(code, "x")).Code; got != want {
			t.Errorf("failure with code %d within a transaction: got %d, want %d", code, got, want)
		}
	}
}

func TestFailureAfterPartOfAnAnswer(t *testing.T) {
	tests := []struct {
		name    string
		access  api.ExecuteRequestAccess
		emitted bool
		code    result.Code
		want    result.Code
	}{
		{"interrupted read", read, true, result.AnswerInterrupted, result.AnswerInterrupted},
		{"interrupted write", write, true, result.AnswerInterrupted, result.OutcomeUnknown},
		{"write without answer", write, false, result.AnswerInterrupted, result.OutcomeUnknown},
		{"refused read", read, false, result.NotRunBehind, result.NotRunBehind},
		{"read refused after a part", read, true, result.NotRunBehind, result.AnswerInterrupted},
		{"write refused after a part", write, true, result.NotRunNoSlot, result.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := failureAfterPart(&api.ExecuteRequest{Access: test.access}, test.emitted, result.Errorf(test.code, "x"))
			if got.Code != test.want {
				t.Fatalf("got code %d, want the code of the case", got.Code)
			}
		})
	}
}

// TestWriteIsNotRepeatedAfterPartOfItsAnswer returns a code that says "not run" after a part of the answer, which a
// gate must never do; the write may have run and must not be repeated.
func TestWriteIsNotRepeatedAfterPartOfItsAnswer(t *testing.T) {
	gates := &fakeGates{replies: []*api.ExecuteReply{part(), done(at(120))}, fetches: []*api.ExecuteReply{refusal(result.NotRunUnreachable)}}
	s := openSession(t, gates)
	_, err := s.Run(context.Background(), batchOf(write, strict), discard)
	if result.CodeOf(err) != result.OutcomeUnknown || len(gates.requests) != 1 || gates.releaseCalls != 1 {
		t.Fatalf("got error %v after %d requests and %d releases, want OutcomeUnknown after one each", err, len(gates.requests), gates.releaseCalls)
	}
}

func TestCallerThatIsGoneReleasesTheAnswer(t *testing.T) {
	gates := &fakeGates{replies: []*api.ExecuteReply{part()}}
	s := openSession(t, gates)
	gone := errors.New("connection reset")
	_, err := s.Run(context.Background(), batchOf(write, strict), func([]byte) error { return gone })
	if err == nil || gates.releaseCalls != 1 {
		t.Fatalf("caller is gone: got error %v and %d releases, want an error and one release", err, gates.releaseCalls)
	}
}

// TestCancelNamesTheBatch cancels the second batch of a session: without its number the request may reach the third.
func TestCancelNamesTheBatch(t *testing.T) {
	gates := &fakeGates{replies: []*api.ExecuteReply{done(at(120)), done(at(121))}}
	s := openSession(t, gates)
	if _, err := s.Run(context.Background(), batchOf(write, strict), discard); err != nil {
		t.Fatal(err)
	}
	cancelling := func([]byte) error { s.Cancel(); return nil }
	if _, err := s.Run(context.Background(), batchOf(write, strict), cancelling); err != nil {
		t.Fatal(err)
	}
	if len(gates.cancels) != 1 || gates.cancels[0] != gates.requests[1].Sequence {
		t.Errorf("got cancels of batches %v, want one of batch %d", gates.cancels, gates.requests[1].Sequence)
	}
}

func TestRefusedWriteIsRepeated(t *testing.T) {
	gates := &fakeGates{replies: []*api.ExecuteReply{refusal(result.NotRunNoSlot), refusal(result.NotRunTermChanged), done(at(120))}}
	s := openSession(t, gates)
	if _, err := s.Run(context.Background(), batchOf(write, strict), discard); err != nil {
		t.Fatal(err)
	}
	if len(gates.requests) != 3 {
		t.Fatalf("got %d requests, want 3", len(gates.requests))
	}
}

func TestMinimumPositionOfStrictReads(t *testing.T) {
	tests := []struct {
		name string
		// access, maxAge and reply are those of a batch that runs before the strict read.
		access api.ExecuteRequestAccess
		maxAge time.Duration
		reply  *api.ExecuteReply
		// minPosition is the wanted minimum position of the strict read; asks is the wanted number of calls for the
		// confirmed position, which is at offset 150.
		minPosition api.Position
		asks        int
	}{
		{"after a write", write, strict, done(at(120)), at(120), 0},
		{"after a read with an allowed age at the primary", read, time.Second, done(at(120)), at(150), 1},
		{"after a read with an allowed age at a replica", read, time.Second, done(api.Position{}), at(150), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gates := &fakeGates{confirmedPosition: at(150), replies: []*api.ExecuteReply{test.reply, done(api.Position{})}}
			s := openSession(t, gates)
			for _, batch := range []struct {
				access api.ExecuteRequestAccess
				maxAge time.Duration
			}{{test.access, test.maxAge}, {read, strict}} {
				if _, err := s.Run(context.Background(), batchOf(batch.access, batch.maxAge), discard); err != nil {
					t.Fatal(err)
				}
			}
			if got := gates.requests[1].Floor; got != test.minPosition || gates.floorCalls != test.asks {
				t.Fatalf("got minimum position %s after %d calls for the confirmed position, want those of the case", got, gates.floorCalls)
			}
		})
	}
}

func TestReadWithAllowedAgeReliesOnOwnWritesOnly(t *testing.T) {
	gates := &fakeGates{replies: []*api.ExecuteReply{done(at(120)), done(api.Position{})}}
	s := openSession(t, gates)
	_, _ = s.Run(context.Background(), batchOf(write, strict), discard)
	_, _ = s.Run(context.Background(), batchOf(read, time.Second), discard)
	if got := gates.requests[1].Floor; got != at(120) {
		t.Fatalf("minimum position of a read with an allowed age: got %s, want that of the write", got)
	}
}

func TestCheckTruncation(t *testing.T) {
	tests := []struct {
		name      string
		position  api.Position
		truncated bool
	}{
		{"no position", api.Position{}, false},
		{"before the start of the term", api.Position{Term: 1, Offset: 99}, false},
		{"first truncated record", api.Position{Term: 1, Offset: 100}, true},
		{"after the start of the term", api.Position{Term: 1, Offset: 150}, true},
		{"position of the term itself", at(150), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := openSession(t, &fakeGates{})
			s.minPosition = test.position
			err := s.checkTruncation()
			if (result.CodeOf(err) == result.AcknowledgedCut) != test.truncated {
				t.Fatalf("checkTruncation: got %v, want AcknowledgedCut only for a truncated position", err)
			}
			if again := s.checkTruncation(); again != nil {
				t.Fatalf("second check: got %v, want nil as the truncation was reported", again)
			}
		})
	}
}

func TestConnectionsOfAWorkspace(t *testing.T) {
	s := openSession(t, &fakeGates{})
	second, err := s.router.Open(context.Background(), s.info)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.router.Open(context.Background(), s.info); result.CodeOf(err) != result.NotRunConnectionLimit {
		t.Fatalf("third connection: got %v, want NotRunConnectionLimit", err)
	}
	second.Close()
	if _, err := s.router.Open(context.Background(), s.info); err != nil {
		t.Fatal(err)
	}
}

// TestCheckTruncationByAnEarlierTerm changes the primary twice between two batches of a session.
func TestCheckTruncationByAnEarlierTerm(t *testing.T) {
	tests := []struct {
		name      string
		position  api.Position
		truncated bool
	}{
		{"truncated by the first change", at(150), true},
		{"kept by both", at(119), false},
		{"written between them", api.Position{Term: 3, Offset: 150}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := openSession(t, &fakeGates{})
			s.minPosition = test.position
			s.router.options.Terms.Observe(api.GroupTerm{Group: "g", Term: 3, Primary: "b", Start: api.Position{Term: 3, Offset: 120}})
			s.router.options.Terms.Observe(api.GroupTerm{Group: "g", Term: 4, Primary: "a", Start: api.Position{Term: 4, Offset: 200}})
			if err := s.checkTruncation(); (result.CodeOf(err) == result.AcknowledgedCut) != test.truncated {
				t.Fatalf("checkTruncation: got %v, want AcknowledgedCut only for a truncated position", err)
			}
		})
	}
}

// TestReadAfterAWriteThatHadRunSeesIt lets a session learn that its write was committed before, as after the answer of a
// frozen daemon was lost and the operation was tried again with its key. The next read has to see that commit, also one
// with an allowed age; before, it had the position of the session's earlier reads, and a replica that lagged served it
// without the rows.
func TestReadAfterAWriteThatHadRunSeesIt(t *testing.T) {
	for _, maxAge := range []time.Duration{strict, time.Second} {
		gates := &fakeGates{confirmedPosition: at(100), replies: []*api.ExecuteReply{done(at(100)), refusal(result.AlreadyRan), done(at(130))}}
		s := openSession(t, gates)
		if _, err := s.Run(context.Background(), batchOf(read, strict), discard); err != nil {
			t.Fatalf("first read: %v", err)
		}
		gates.confirmedPosition = at(130)
		if _, err := s.Run(context.Background(), batchOf(write, strict), discard); result.CodeOf(err) != result.AlreadyRan {
			t.Fatalf("write: got %v, want %s", err, result.AlreadyRan)
		}
		if _, err := s.Run(context.Background(), batchOf(read, maxAge), discard); err != nil {
			t.Fatalf("second read: %v", err)
		}
		if got := gates.requests[2].Floor; got != at(130) {
			t.Errorf("allowed age %s: got minimum position %s of the read after the write, want %s", maxAge, got, at(130))
		}
	}
}

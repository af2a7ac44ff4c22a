package gate

import (
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

func batchAt(session string, sequence uint64) *batch {
	return &batch{req: &api.ExecuteRequest{SessionID: session, Sequence: sequence}}
}

func TestResumeKeepsTheOrderOfBatches(t *testing.T) {
	table := newTransactions()
	table.begin(batchAt("s", 5), statusTransaction)
	steps := []struct {
		session  string
		sequence uint64
		want     result.Code
	}{
		{"other", 6, result.TransactionLost},
		{"s", 5, result.ProtocolViolation},
		{"s", 4, result.ProtocolViolation},
		{"s", 7, result.OK},
		{"s", 8, result.ProtocolViolation}, // batch 7 still runs
	}
	for _, step := range steps {
		_, err := table.resume(batchAt(step.session, step.sequence).req)
		if result.CodeOf(err) != step.want {
			t.Fatalf("batch %d of %s: got %v, want the code of the step", step.sequence, step.session, err)
		}
	}
	table.idle(batchAt("s", 7), statusTransaction)
	if _, err := table.resume(batchAt("s", 7).req); result.CodeOf(err) != result.ProtocolViolation {
		t.Fatalf("repeated batch: got %v, want ProtocolViolation", err)
	}
	if _, err := table.resume(batchAt("s", 8).req); err != nil {
		t.Fatal(err)
	}
}

func TestAbandonWaitsForARunningBatch(t *testing.T) {
	table := newTransactions()
	all := func(*transaction) bool { return true }
	table.begin(batchAt("idle", 1), statusTransaction)
	table.begin(batchAt("busy", 1), statusTransaction)
	if _, err := table.resume(batchAt("busy", 2).req); err != nil {
		t.Fatal(err)
	}
	if ended := table.abandon(all); len(ended) != 1 || ended[0].session != "idle" {
		t.Fatalf("got %d abandoned transactions, want only that of session idle", len(ended))
	}
	if _, err := table.resume(batchAt("busy", 3).req); result.CodeOf(err) != result.TransactionLost {
		t.Fatalf("batch of an abandoned transaction: got %v, want TransactionLost", err)
	}
	if !table.idle(batchAt("busy", 2), statusTransaction) || table.count() != 0 {
		t.Fatal("the abandoned transaction was kept after its batch, want it removed")
	}
}

func TestOpenPipelineKeepsItsState(t *testing.T) {
	table := newTransactions()
	table.begin(batchAt("s", 1), statusOpenPipeline)
	failing := batchAt("s", 2)
	failing.failed = true
	resumed, err := table.resume(failing.req)
	if err != nil || !resumed.inPipeline || resumed.failed {
		t.Fatalf("second batch: got %+v, %v; want an open pipeline that has not failed", resumed, err)
	}
	table.idle(failing, statusOpenPipeline)
	if resumed, err = table.resume(batchAt("s", 3).req); err != nil || !resumed.failed {
		t.Fatalf("third batch: got %+v, %v; want a failed pipeline", resumed, err)
	}
}

package gate

import (
	"context"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

func TestNextRepeatsOnlyTheLatestChunk(t *testing.T) {
	ctx := context.Background()
	a := newAnswer(ctx, 7, "s")
	parts := []string{"first", "second", "last"}
	go func() {
		_ = a.sendChunk([]byte(parts[0]))
		_ = a.sendChunk([]byte(parts[1]))
		a.sendLast(&api.ExecuteReply{Chunk: []byte(parts[2])})
	}()
	steps := []struct {
		number uint64
		want   string // empty for a refusal
	}{{0, "first"}, {0, "first"}, {2, ""}, {1, "second"}, {0, ""}, {1, "second"}, {2, "last"}, {2, "last"}}
	for i, step := range steps {
		reply := a.next(ctx, step.number)
		if string(reply.Chunk) != step.want {
			t.Fatalf("step %d: chunk %d is %q, want %q", i, step.number, reply.Chunk, step.want)
		}
		if step.want == "" && result.Code(reply.Code) != result.AnswerInterrupted {
			t.Fatalf("step %d: got code %d, want answer_interrupted", i, reply.Code)
		}
	}
}

func TestAbandonedAnswer(t *testing.T) {
	ctx := context.Background()
	a := newAnswer(ctx, 7, "s")
	if err := a.sendChunk([]byte("first")); err != nil {
		t.Fatal(err)
	}
	a.cancel()
	if err := a.sendChunk([]byte("second")); err == nil {
		t.Fatal("sendChunk on an abandoned answer succeeded, want an error")
	}
	if reply := a.next(ctx, 0); string(reply.Chunk) != "first" {
		t.Fatalf("chunk 0: got %+v, want the buffered chunk", reply)
	}
	if reply := a.next(ctx, 1); result.Code(reply.Code) != result.AnswerInterrupted {
		t.Fatalf("chunk 1: got %+v, want answer_interrupted", reply)
	}
}

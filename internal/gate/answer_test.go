package gate

import (
	"context"
	"testing"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

func TestNextDropsLateAndRepeatedNumbers(t *testing.T) {
	ctx := context.Background()
	a := newAnswer(ctx, 7, "s")
	parts := []string{"first", "second", "last"}
	go func() {
		_ = a.ship([]byte(parts[0]))
		_ = a.ship([]byte(parts[1]))
		a.finish(&api.ExecuteReply{Chunk: []byte(parts[2])})
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
			t.Fatalf("step %d: code %d", i, reply.Code)
		}
	}
}

func TestAbandonedAnswer(t *testing.T) {
	ctx := context.Background()
	a := newAnswer(ctx, 7, "s")
	if err := a.ship([]byte("first")); err != nil {
		t.Fatal(err)
	}
	a.cancel()
	if err := a.ship([]byte("second")); err == nil {
		t.Fatal("an abandoned answer goes on")
	}
	if reply := a.next(ctx, 0); string(reply.Chunk) != "first" {
		t.Fatalf("%+v", reply)
	}
	if reply := a.next(ctx, 1); result.Code(reply.Code) != result.AnswerInterrupted {
		t.Fatalf("%+v", reply)
	}
}

package gate

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
)

func encodeAll(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, message := range messages {
		out, _ = message.Encode(out)
	}
	return out
}

func TestOpensBlock(t *testing.T) {
	query := func(text string) []byte { return encodeAll(&pgproto3.Query{String: text}) }
	execute := func(text string) []byte {
		return encodeAll(&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	}
	tests := []struct {
		name     string
		messages []byte
		want     bool
	}{
		{"begin", query("BEGIN"), true},
		{"begin with modes", query(" begin isolation level serializable ; "), true},
		{"start", query("START TRANSACTION READ WRITE"), true},
		{"comments", query("/* a */ -- b\nBEGIN; -- c"), true},
		{"with work", query("BEGIN; INSERT INTO a VALUES (1)"), false},
		{"insert", query("INSERT INTO begin VALUES (1)"), false},
		{"beginning", query("BEGINNING"), false},
		{"extended", execute("BEGIN"), true},
		{"extended insert", execute("INSERT INTO a VALUES (1)"), false},
		{"prepared", encodeAll(&pgproto3.Bind{PreparedStatement: "p"}, &pgproto3.Execute{}, &pgproto3.Sync{}), true},
		{"pipeline", append(execute("BEGIN"), execute("INSERT INTO a VALUES (1)")...), false},
		{"nothing", encodeAll(&pgproto3.Sync{}), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			prepared := []api.PreparedStatement{{Name: "p", Query: "BEGIN"}}
			b := &batch{req: &api.ExecuteRequest{Messages: test.messages, Prepared: prepared}}
			if got := b.opensBlock(); got != test.want {
				t.Fatalf("opensBlock: got %v, want the opposite", got)
			}
		})
	}
}

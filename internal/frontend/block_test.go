package frontend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/papayacove/papayacove/internal/result"
	"pgregory.net/rapid"
)

// blockModel is a caller that ignores errors: it sends every statement of a transaction block even
// after earlier ones have failed.
type blockModel struct {
	c       *client
	runner  *fakeRunner
	isOpen  bool
	inserts int
}

// runStatement sends one statement by the simple or the extended protocol and returns the answers.
func (m *blockModel) runStatement(t *rapid.T, text string, fails bool) string {
	m.runner.mutex.Lock()
	m.runner.fail = nil
	if fails {
		m.runner.fail = func(*Batch) *result.Error { return result.Errorf(result.TransactionLost, "drawn") }
	}
	m.runner.mutex.Unlock()
	answers := ""
	switch rapid.SampledFrom([]string{"simple", "extended", "named"}).Draw(t, "protocol") {
	case "simple":
		answers = m.c.query(text)
	case "extended":
		m.c.send(parse("", text), bind(""), execute(), syncAll())
		answers = m.c.answers()
	case "named":
		m.c.send(parse("s", text), syncAll(), bind("s"), execute(), closeStatement("s"), syncAll())
		answers = m.c.answers() + " " + m.c.answers()
	}
	if !strings.HasSuffix(answers, "ready:I") && !m.isOpen && text != "BEGIN" {
		t.Fatalf("%s outside a block: answers = %q, want them to end in ready:I", text, answers)
	}
	return answers
}

// TestStatementsOfABlockNeverRunOutsideIt guards against statements of a transaction block that run
// on their own after an error has ended the block on the target. It draws statements, failures and
// refusals. The fake target tracks its own transaction status, with which each INSERT is compared.
func TestStatementsOfABlockNeverRunOutsideIt(t *testing.T) {
	runner := newFakeRunner()
	server := startServer(t, runner, nil)
	rapid.Check(t, func(rt *rapid.T) {
		runner.reset()
		m := &blockModel{c: dial(t, server, nil), runner: runner}
		defer m.c.conn.Close()
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(rt *rapid.T) {
				m.isOpen = m.isOpen || strings.HasSuffix(m.runStatement(rt, "BEGIN", false), "ready:T")
			},
			"insert": func(rt *rapid.T) {
				m.inserts++
				text := fmt.Sprintf("INSERT %d open=%t", m.inserts, m.isOpen)
				m.runStatement(rt, text, rapid.Bool().Draw(rt, "fails"))
			},
			"refused": func(rt *rapid.T) { m.runStatement(rt, "LISTEN a", false) },
			"set":     func(rt *rapid.T) { m.runStatement(rt, "SET jit = off", false) },
			"end": func(rt *rapid.T) {
				text := rapid.SampledFrom([]string{"COMMIT", "ROLLBACK"}).Draw(rt, "end")
				if answers := m.runStatement(rt, text, rapid.Bool().Draw(rt, "fails")); strings.HasSuffix(answers, "ready:I") {
					m.isOpen = false
				}
			},
			"": func(rt *rapid.T) {
				for _, violation := range runner.violations() {
					rt.Fatal(violation)
				}
			},
		})
	})
}

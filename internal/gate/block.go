package gate

import (
	"regexp"

	"github.com/jackc/pgx/v5/pgproto3"
)

// loneBeginPattern matches a query text that consists of one statement, which opens a transaction block.
var loneBeginPattern = regexp.MustCompile(`(?is)^(?:\s|;|--[^\n]*(?:\n|$)|/\*.*?\*/)*` +
	`(?:begin|start)\b[^;]*(?:;(?:\s|;|--[^\n]*(?:\n|$)|/\*.*?\*/)*)?$`)

// opensBlock reports whether the batch executes exactly one statement, and that is a BEGIN.
func (b *batch) opensBlock() bool {
	executed := b.executed()
	return len(executed) == 1 && loneBeginPattern.MatchString(executed[0])
}

// executed returns the texts of the queries and statements that the batch executes, in order.
func (b *batch) executed() []string {
	statements := make(map[string]string, len(b.req.Prepared))
	for _, statement := range b.req.Prepared {
		statements[statement.Name] = statement.Query
	}
	portals := make(map[string]string)
	var texts []string
	for messages := b.req.Messages; ; {
		kind, body, rest, ok := nextMessage(messages)
		if !ok {
			return texts
		}
		messages = rest
		switch kind {
		case messageQuery:
			texts = append(texts, cString(body))
		case messageParse:
			var parse pgproto3.Parse
			if parse.Decode(body) == nil {
				statements[parse.Name] = parse.Query
			}
		case messageBind:
			var bind pgproto3.Bind
			if bind.Decode(body) == nil {
				portals[bind.DestinationPortal] = statements[bind.PreparedStatement]
			}
		case messageExecute:
			texts = append(texts, portals[cString(body)])
		}
	}
}

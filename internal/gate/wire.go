package gate

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Message types of the PostgreSQL protocol that the gate handles.
const (
	messageReadyForQuery    = 'Z'
	messageErrorResponse    = 'E'
	messageCommandComplete  = 'C'
	messageParseComplete    = '1'
	messageBindComplete     = '2'
	messageCloseComplete    = '3'
	messageDataRow          = 'D'
	messageRowDescription   = 'T'
	messageParameterStatus  = 'S'
	messageNoData           = 'n'
	messageEmptyQuery       = 'I'
	messagePortalSuspended  = 's'
	messageCopyInResponse   = 'G'
	messageParse            = 'P'
	messageBind             = 'B'
	messageDescribe         = 'D'
	messageExecute          = 'E'
	messageClose            = 'C'
	messageQuery            = 'Q'
	messageSync             = 'S'
	messageFlush            = 'H'
	messageHeaderBytes      = 5
	describeStatementObject = 'S'
)

// appendMessage appends a framed message.
func appendMessage(dst []byte, kind byte, body []byte) []byte {
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// appendQuery appends a simple query.
func appendQuery(dst []byte, query string) []byte {
	dst, _ = (&pgproto3.Query{String: query}).Encode(dst)
	return dst
}

// nextMessage splits the first framed message off a run of messages.
func nextMessage(messages []byte) (kind byte, body, rest []byte, ok bool) {
	if len(messages) < messageHeaderBytes {
		return 0, nil, nil, false
	}
	end := 1 + int(binary.BigEndian.Uint32(messages[1:]))
	if end < messageHeaderBytes || end > len(messages) {
		return 0, nil, nil, false
	}
	return messages[0], messages[messageHeaderBytes:end], messages[end:], true
}

// endsInFlush reports whether the last message of a run is a Flush.
func endsInFlush(messages []byte) bool {
	var last byte
	for {
		kind, _, rest, ok := nextMessage(messages)
		if !ok {
			return last == messageFlush
		}
		last, messages = kind, rest
	}
}

// cString returns the text up to the first zero byte.
func cString(body []byte) string {
	if i := bytes.IndexByte(body, 0); i >= 0 {
		return string(body[:i])
	}
	return string(body)
}

// rowValues splits the body of a DataRow.
func rowValues(body []byte) [][]byte {
	var row pgproto3.DataRow
	if row.Decode(body) != nil {
		return nil
	}
	return row.Values
}

// sqlState returns the SQLSTATE and the message of an ErrorResponse body.
func sqlState(body []byte) (state, message string) {
	var response pgproto3.ErrorResponse
	if response.Decode(body) != nil {
		return "", ""
	}
	return response.Code, response.Message
}

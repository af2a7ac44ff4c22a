package capacity

import (
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/target"
)

// fakeTarget is a target that only answers status calls, with as little work as possible. It counts the calls.
type fakeTarget struct {
	listener net.Listener
	// commitInterval is the time between two records that the target reports as received; 0 for one record at the
	// start and none afterwards.
	commitInterval time.Duration
	started        time.Time
	calls          atomic.Int64
}

// newFakeTarget starts a fake target on a free loopback port.
func newFakeTarget(commitInterval time.Duration) (*fakeTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &fakeTarget{listener: listener, commitInterval: commitInterval, started: time.Now()}
	go t.accept()
	return t, nil
}

func (t *fakeTarget) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

// serve answers the queries of one connection until it ends. It treats each query as a status call.
func (t *fakeTarget) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		if query, ok := message.(*pgproto3.Query); ok {
			t.waitForRecord(query.String)
			t.reply(backend)
		}
	}
}

// receivedOffset returns the log offset of the last received record.
func (t *fakeTarget) receivedOffset() uint64 {
	if t.commitInterval == 0 {
		return 1
	}
	return uint64(time.Since(t.started)/t.commitInterval) + 1
}

// waitForRecord waits until the offset that a status call names is received, but at most as long as the call allows. A
// call without an offset does not wait. A target without commits always waits as long as the call allows.
func (t *fakeTarget) waitForRecord(query string) {
	parts := strings.Split(strings.Trim(query[strings.Index(query, "(")+1:], ")"), ", ")
	if len(parts) != 3 {
		return
	}
	offset, _ := strconv.ParseUint(parts[1], 10, 64)
	wait, _ := strconv.Atoi(parts[2])
	limit := time.Duration(wait) * time.Millisecond
	if t.commitInterval == 0 {
		time.Sleep(limit)
		return
	}
	receivedAt := t.started.Add(time.Duration(offset-1) * t.commitInterval)
	time.Sleep(min(limit, time.Until(receivedAt)))
}

// reply sends the status of a replica in term 7.
func (t *fakeTarget) reply(backend *pgproto3.Backend) {
	t.calls.Add(1)
	offset := strconv.FormatUint(t.receivedOffset(), 10)
	description := &pgproto3.RowDescription{}
	for _, column := range target.StatusColumns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{Name: []byte(column), DataTypeOID: 25, DataTypeSize: -1})
	}
	row := &pgproto3.DataRow{}
	for _, value := range []string{string(target.RoleReplica), "7", "7", offset, offset, "7", "f"} {
		row.Values = append(row.Values, []byte(value))
	}
	backend.Send(description)
	backend.Send(row)
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func (t *fakeTarget) close() {
	_ = t.listener.Close()
}

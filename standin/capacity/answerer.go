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

// answerer answers status calls as a target does, with as little work as possible.
type answerer struct {
	listener net.Listener
	// commitInterval is the time between two records; 0 for no records.
	commitInterval time.Duration
	started        time.Time
	calls          atomic.Int64
}

func newAnswerer(commitInterval time.Duration) (*answerer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &answerer{listener: listener, commitInterval: commitInterval, started: time.Now()}
	go a.accept()
	return a, nil
}

func (a *answerer) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		go a.serve(conn)
	}
}

func (a *answerer) serve(conn net.Conn) {
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
			a.await(query.String)
			a.answer(backend)
		}
	}
}

// received returns the offset of the last record.
func (a *answerer) received() uint64 {
	if a.commitInterval == 0 {
		return 1
	}
	return uint64(time.Since(a.started)/a.commitInterval) + 1
}

// await waits for the record that a call asks for, at most as long as it allows.
func (a *answerer) await(query string) {
	parts := strings.Split(strings.Trim(query[strings.Index(query, "(")+1:], ")"), ", ")
	if len(parts) != 3 {
		return
	}
	offset, _ := strconv.ParseUint(parts[1], 10, 64)
	wait, _ := strconv.Atoi(parts[2])
	limit := time.Duration(wait) * time.Millisecond
	if a.commitInterval == 0 {
		time.Sleep(limit)
		return
	}
	until := a.started.Add(time.Duration(offset-1) * a.commitInterval)
	time.Sleep(min(limit, time.Until(until)))
}

func (a *answerer) answer(backend *pgproto3.Backend) {
	a.calls.Add(1)
	offset := strconv.FormatUint(a.received(), 10)
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

func (a *answerer) close() {
	_ = a.listener.Close()
}

package frontend

import (
	"crypto/tls"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	idleConnections          = 2000
	idleEncryptedConnections = 400
	// maxIdleBytes is the largest allowed memory of an idle caller connection, heap and stacks.
	maxIdleBytes = 24 << 10
)

func TestIdleConnectionMemory(t *testing.T) {
	measureIdle(t, idleConnections, nil)
}

func TestIdleEncryptedConnectionMemory(t *testing.T) {
	measureIdle(t, idleEncryptedConnections, selfSigned(t))
}

// measureIdle opens sessions that have each run one query and are idle, and measures heap and stacks
// per session. The figure includes the client's end of the connection.
func measureIdle(t *testing.T, count int, config *tls.Config) {
	server := startServer(t, newFakeRunner(), func(o *Options) {
		o.TLS = config
		o.Limits.MaxUnauthenticatedConnections = count
	})
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "crew", "database": "kelani.rounds"},
	}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	query, err := (&pgproto3.Query{String: "SET application_name = 'idle'"}).Encode(startup)
	if err != nil {
		t.Fatal(err)
	}
	before := memoryInUse()
	conns := make([]net.Conn, count)
	for i := range conns {
		conns[i] = openIdle(t, server, query)
	}
	perConnection := (memoryInUse() - before) / uint64(count)
	t.Logf("%d idle connections use %d bytes each", count, perConnection)
	if perConnection > maxIdleBytes {
		t.Errorf("memory of an idle connection = %d bytes, want at most %d", perConnection, maxIdleBytes)
	}
	for _, conn := range conns {
		conn.Close()
	}
}

// openIdle sends the start-up message and one query, and waits for the ReadyForQuery of each.
func openIdle(t *testing.T, server *Server, messages []byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	stream := net.Conn(conn)
	if server.options.TLS != nil {
		stream = encrypt(t, conn)
	}
	if _, err := stream.Write(messages); err != nil {
		t.Fatal(err)
	}
	frontend := pgproto3.NewFrontend(stream, stream)
	for ready := 0; ready < 2; {
		message, err := frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			ready++
		}
	}
	return conn
}

// encrypt negotiates TLS. openIdle keeps only the connection beneath it, so that the client's TLS
// state is not measured.
func encrypt(t *testing.T, conn net.Conn) net.Conn {
	t.Helper()
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
}

// memoryInUse returns the bytes of live heap objects and stacks.
func memoryInUse() uint64 {
	// The garbage collector at most halves a stack in each cycle.
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

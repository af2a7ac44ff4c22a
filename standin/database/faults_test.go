package database

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayacove/papayacove/internal/target"
)

// shortTimeout is long enough for a local answer to arrive, unless the connection is blocked.
const shortTimeout = 50 * time.Millisecond

// expectNoAnswer fails the test if the target answers on the slot within shortTimeout.
func expectNoAnswer(t *testing.T, slot *target.Slot) {
	t.Helper()
	send(t, slot, &pgproto3.Sync{})
	slot.Conn.SetReadDeadline(time.Now().Add(shortTimeout))
	_, _, err := slot.ReadRaw()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read from a blocked connection: got error %v, want ErrDeadlineExceeded", err)
	}
	slot.Conn.SetReadDeadline(time.Time{})
}

func TestHalfOpenFaultDoesNotAffectNewConnections(t *testing.T) {
	s := startTarget(t, Options{})
	old := dialSlot(t, s, nil)
	s.MakeHalfOpen()
	expectNoAnswer(t, old)
	send(t, dialSlot(t, s, nil), &pgproto3.Sync{})
}

func TestPartitionEndsWhenFaultIsCleared(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, map[string]string{"application_name": "gate@gampaha"})
	s.SetFaults(Faults{PartitionedClients: []string{"gate@colombo"}})
	send(t, slot, &pgproto3.Sync{})
	readTypes(t, slot, 1)
	for _, faults := range []Faults{{Partitioned: true}, {PartitionedClients: []string{"gate@gampaha"}}} {
		s.SetFaults(faults)
		expectNoAnswer(t, slot)
		s.SetFaults(Faults{})
		if types, _ := readTypes(t, slot, 1); types != "Z" {
			t.Fatalf("message types after the fault was cleared: got %q, want Z", types)
		}
	}
}

func TestHalfOpenClientLosesSlotAndLock(t *testing.T) {
	s := startTarget(t, Options{Slots: 1})
	setUp := dialSlot(t, s, nil)
	send(t, setUp, &pgproto3.Query{String: "CREATE TABLE t (v text)"})
	readTypes(t, setUp, 1)
	setUp.Close()
	await(t, "slot is released", func() bool { return len(s.openSessions()) == 0 })
	slot := dialSlot(t, s, map[string]string{"idle_in_transaction_session_timeout": "50"})
	send(t, slot, &pgproto3.Query{String: "BEGIN; INSERT INTO t VALUES ('x')"})
	readTypes(t, slot, 1)
	s.MakeHalfOpen()
	await(t, "slot is released", func() bool { return len(s.openSessions()) == 0 })
	mustExec(t, connectPGX(t, s), "INSERT INTO t VALUES ('y')")
	if dump, err := s.Dump("t"); err != nil || len(dump.Rows) != 1 {
		t.Fatalf("rows: got %v, %v, want 1", dump, err)
	}
}

func TestHalfOpenClientIsDisconnectedDuringAnAnswer(t *testing.T) {
	s := startTarget(t, Options{Slots: 1})
	slot := dialSlot(t, s, nil)
	send(t, slot, &pgproto3.Query{String: "SET idle_session_timeout = 50; SELECT pg_sleep(1)"})
	await(t, "statement is running", func() bool {
		sessions := s.openSessions()
		return len(sessions) == 1 && sessions[0].running.Load()
	})
	s.MakeHalfOpen()
	await(t, "slot is released", func() bool { return len(s.openSessions()) == 0 })
}

func TestIdleSessionTimeout(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, map[string]string{"idle_session_timeout": "20ms"})
	messageType, body, err := slot.ReadRaw()
	if err != nil || messageType != 'E' || !strings.Contains(string(body), sqlStateIdleSession) {
		t.Fatalf("idle session: got message %q %q, %v, want an ErrorResponse with SQLSTATE 57P05", messageType, body, err)
	}
}

func TestWriteLockTimesOut(t *testing.T) {
	s := startTarget(t, Options{LockTimeout: shortTimeout})
	first, second := connectPGX(t, s), connectPGX(t, s)
	mustExec(t, first, "CREATE TABLE t (id bigint)")
	mustExec(t, first, "BEGIN")
	if _, err := second.Exec(testContext(t), "INSERT INTO t (id) VALUES (1)"); sqlStateOf(err) != sqlStateLockTimeout {
		t.Fatalf("write without the lock: got error %v, want SQLSTATE 55P03", err)
	}
	if n := mustQuery[int64](t, second, "SELECT count(*) FROM t"); n != 0 {
		t.Fatalf("rows: got %d, want 0", n)
	}
	mustExec(t, first, "COMMIT")
	mustExec(t, second, "INSERT INTO t (id) VALUES (1)")
}

func TestCloseConnectionsClosesSlots(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, nil)
	s.CloseConnections()
	if _, _, err := slot.ReadRaw(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read after CloseConnections: got error %v, want that of a closed connection", err)
	}
}

func TestFaultsOverAdminAPI(t *testing.T) {
	s := startTarget(t, Options{AdminAddress: "127.0.0.1:0", Faults: Faults{LagMs: 5}})
	conn := connectPGX(t, s)
	mustExec(t, conn, "CREATE TABLE t (id bigint, v text)")
	mustExec(t, conn, "INSERT INTO t VALUES (1, 'x')")
	postFaults(t, s, `{"leaving": true, "cut_from": ["b"]}`, http.StatusOK)
	postFaults(t, s, `{"lagg_ms": 3}`, http.StatusBadRequest)
	faults := s.Faults()
	if !s.Status().Leaving || faults.LagMs != 5 || len(faults.PartitionedFrom) != 1 {
		t.Fatalf("faults: got %+v, want leaving, a lag of 5 ms and one target in cut_from", faults)
	}
	if got := getAdmin(t, s, "/dump?table=t"); got != `{"columns":["id","v"],"rows":[[1,"x"]]}` {
		t.Fatalf("dump: got %s, want row 1, x", got)
	}
	if got := getAdmin(t, s, "/log"); !strings.Contains(got, `"entries":[{"offset":1,"term":1},{"offset":2,"term":1}]`) {
		t.Fatalf("log: got %s, want offsets 1 and 2 of term 1", got)
	}
}

func postFaults(t *testing.T, s *Target, body string, want int) {
	t.Helper()
	response, err := http.Post("http://"+s.AdminAddress()+"/knobs", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != want {
		t.Fatalf("POST /knobs with %s: got unexpected status %s", body, response.Status)
	}
}

func getAdmin(t *testing.T, s *Target, path string) string {
	t.Helper()
	response, err := http.Get("http://" + s.AdminAddress() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(content))
}

// A connection that has sent no start-up message does not use a slot.
func TestConnectionWithoutStartupUsesNoSlot(t *testing.T) {
	s := startTarget(t, Options{Slots: 1})
	idle, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	dialSlot(t, s, nil)
}

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

// shortSilence is long enough for a local answer to arrive.
const shortSilence = 50 * time.Millisecond

// expectSilence fails when the slot answers within shortSilence.
func expectSilence(t *testing.T, slot *target.Slot) {
	t.Helper()
	send(t, slot, &pgproto3.Sync{})
	slot.Conn.SetReadDeadline(time.Now().Add(shortSilence))
	_, _, err := slot.ReadRaw()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read gives %v", err)
	}
	slot.Conn.SetReadDeadline(time.Time{})
}

func TestSilenceLeavesNewConnectionsAlone(t *testing.T) {
	s := startTarget(t, Options{})
	old := dialSlot(t, s, nil)
	s.Silence()
	expectSilence(t, old)
	send(t, dialSlot(t, s, nil), &pgproto3.Sync{})
}

func TestCutEndsWithTheKnob(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, map[string]string{"application_name": "gate@gampaha"})
	s.SetKnobs(Knobs{CutClients: []string{"gate@colombo"}})
	send(t, slot, &pgproto3.Sync{})
	readTypes(t, slot, 1)
	for _, knobs := range []Knobs{{Cut: true}, {CutClients: []string{"gate@gampaha"}}} {
		s.SetKnobs(knobs)
		expectSilence(t, slot)
		s.SetKnobs(Knobs{})
		if types, _ := readTypes(t, slot, 1); types != "Z" {
			t.Fatalf("answers are %q", types)
		}
	}
}

func TestVanishedClientLosesSlotAndLock(t *testing.T) {
	s := startTarget(t, Options{Slots: 1})
	setUp := dialSlot(t, s, nil)
	send(t, setUp, &pgproto3.Query{String: "CREATE TABLE t (v text)"})
	readTypes(t, setUp, 1)
	setUp.Close()
	await(t, "slot is free", func() bool { return len(s.openSessions()) == 0 })
	slot := dialSlot(t, s, map[string]string{"idle_in_transaction_session_timeout": "50"})
	send(t, slot, &pgproto3.Query{String: "BEGIN; INSERT INTO t VALUES ('x')"})
	readTypes(t, slot, 1)
	s.Silence()
	await(t, "slot is free", func() bool { return len(s.openSessions()) == 0 })
	mustExec(t, connectPGX(t, s), "INSERT INTO t VALUES ('y')")
	if dump, err := s.Dump("t"); err != nil || len(dump.Rows) != 1 {
		t.Fatalf("rows are %v, %v", dump, err)
	}
}

func TestSilentClientIsGivenUpInTheMiddleOfAnAnswer(t *testing.T) {
	s := startTarget(t, Options{Slots: 1})
	slot := dialSlot(t, s, nil)
	send(t, slot, &pgproto3.Query{String: "SET idle_session_timeout = 50; SELECT pg_sleep(1)"})
	await(t, "statement runs", func() bool {
		sessions := s.openSessions()
		return len(sessions) == 1 && sessions[0].running.Load()
	})
	s.Silence()
	await(t, "slot is free", func() bool { return len(s.openSessions()) == 0 })
}

func TestIdleSessionTimeout(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, map[string]string{"idle_session_timeout": "20ms"})
	messageType, body, err := slot.ReadRaw()
	if err != nil || messageType != 'E' || !strings.Contains(string(body), stateIdleSession) {
		t.Fatalf("idle session gets %q %q, %v", messageType, body, err)
	}
}

func TestWriteLockTimesOut(t *testing.T) {
	s := startTarget(t, Options{LockTimeout: shortSilence})
	first, second := connectPGX(t, s), connectPGX(t, s)
	mustExec(t, first, "CREATE TABLE t (id bigint)")
	mustExec(t, first, "BEGIN")
	if _, err := second.Exec(testContext(t), "INSERT INTO t (id) VALUES (1)"); state(err) != stateLockTimeout {
		t.Fatalf("blocked write gives %v", err)
	}
	if n := mustQuery[int64](t, second, "SELECT count(*) FROM t"); n != 0 {
		t.Fatalf("%d rows", n)
	}
	mustExec(t, first, "COMMIT")
	mustExec(t, second, "INSERT INTO t (id) VALUES (1)")
}

func TestResetClosesConnections(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, nil)
	s.Reset()
	if _, _, err := slot.ReadRaw(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read gives %v", err)
	}
}

func TestKnobsOverHTTP(t *testing.T) {
	s := startTarget(t, Options{AdminAddress: "127.0.0.1:0", Knobs: Knobs{LagMs: 5}})
	conn := connectPGX(t, s)
	mustExec(t, conn, "CREATE TABLE t (id bigint, v text)")
	mustExec(t, conn, "INSERT INTO t VALUES (1, 'x')")
	post(t, s, `{"leaving": true, "cut_from": ["b"]}`, http.StatusOK)
	post(t, s, `{"lagg_ms": 3}`, http.StatusBadRequest)
	knobs := s.Knobs()
	if !s.Status().Leaving || knobs.LagMs != 5 || len(knobs.CutFrom) != 1 {
		t.Fatalf("knobs are %+v", knobs)
	}
	if got := get(t, s, "/dump?table=t"); got != `{"columns":["id","v"],"rows":[[1,"x"]]}` {
		t.Fatalf("dump is %s", got)
	}
	if got := get(t, s, "/log"); !strings.Contains(got, `"entries":[{"offset":1,"term":1},{"offset":2,"term":1}]`) {
		t.Fatalf("log is %s", got)
	}
}

func post(t *testing.T, s *Target, body string, want int) {
	t.Helper()
	response, err := http.Post("http://"+s.AdminAddress()+"/knobs", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != want {
		t.Fatalf("%s gives %s", body, response.Status)
	}
}

func get(t *testing.T, s *Target, path string) string {
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

// A connection that never speaks does not use a slot.
func TestMuteConnectionUsesNoSlot(t *testing.T) {
	s := startTarget(t, Options{Slots: 1})
	mute, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	dialSlot(t, s, nil)
}

package database

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayacove/papayacove/internal/target"
)

var account = target.Options{User: "tester", Database: "rounds"}

func dialSlot(t testing.TB, s *Target, parameters map[string]string) *target.Slot {
	t.Helper()
	slot, err := target.DialSlot(testContext(t), s.Address(), account, parameters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { slot.Close() })
	return slot
}

func send(t testing.TB, slot *target.Slot, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	for _, m := range messages {
		encoded, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := slot.WriteRaw(encoded); err != nil {
			t.Fatal(err)
		}
	}
	if err := slot.Flush(); err != nil {
		t.Fatal(err)
	}
}

// readTypes reads messages up to and including the given number of ReadyForQuery messages. It returns
// the types of all messages and the values of the last row.
func readTypes(t testing.TB, slot *target.Slot, ready int) (types string, row [][]byte) {
	t.Helper()
	for ready > 0 {
		messageType, body, err := slot.ReadRaw()
		if err != nil {
			t.Fatalf("read after message types %q: %v", types, err)
		}
		types += string(messageType)
		if messageType == 'D' {
			row = copyRow(t, body)
		}
		if messageType == 'Z' {
			ready--
		}
	}
	return types, row
}

// copyRow returns the values of a DataRow message, which stay valid after the next read.
func copyRow(t testing.TB, body []byte) [][]byte {
	var row pgproto3.DataRow
	if err := row.Decode(append([]byte(nil), body...)); err != nil {
		t.Fatal(err)
	}
	return row.Values
}

func TestSlotPipelinesStatusBehindCommit(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, map[string]string{"application_name": "gate"})
	if slot.ParameterStatus["application_name"] != "gate" || slot.ProcessID == 0 {
		t.Fatalf("start-up: got parameters %v and process ID %d, want application_name gate and a process ID", slot.ParameterStatus, slot.ProcessID)
	}
	send(t, slot, &pgproto3.Query{String: "CREATE TABLE t (v text)"})
	readTypes(t, slot, 1)
	send(t, slot, &pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "INSERT INTO t VALUES ('x')"},
		&pgproto3.Query{String: "COMMIT"}, &pgproto3.Query{String: target.StatusQuery})
	types, row := readTypes(t, slot, 4)
	if types != "CZCZCZTDCZ" {
		t.Fatalf("message types: got %q, want CZCZCZTDCZ", types)
	}
	status, err := target.ParseStatusRow(row)
	if err != nil || status != s.Status() || status.Received != 2 {
		t.Fatalf("status: got %+v, %v, want that of Target.Status with Received 2", status, err)
	}
}

func TestSlotRelaysLargeRowsAndErrorsSkipToSync(t *testing.T) {
	slot := dialSlot(t, startTarget(t, Options{}), nil)
	send(t, slot, &pgproto3.Query{String: "SELECT hex(zeroblob(100000))"})
	types, row := readTypes(t, slot, 1)
	if types != "TDCZ" || len(row[0]) != 200000 {
		t.Fatalf("message types: got %q, want TDCZ with 200000 digits in the row", types)
	}
	send(t, slot, &pgproto3.Parse{Query: "SELECT * FROM missing"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Parse{Query: "SELECT generate_series(1, 5)"}, &pgproto3.Bind{}, &pgproto3.Execute{MaxRows: 3},
		&pgproto3.Execute{MaxRows: 3}, &pgproto3.Sync{}, &pgproto3.Query{String: ";"})
	if types, _ = readTypes(t, slot, 3); types != "EZ12DDDsDDCZIZ" {
		t.Fatalf("message types: got %q, want EZ12DDDsDDCZIZ", types)
	}
}

func TestSlotsAreLimited(t *testing.T) {
	s := startTarget(t, Options{Slots: 2})
	first := dialSlot(t, s, nil)
	dialSlot(t, s, nil)
	if _, err := target.DialSlot(testContext(t), s.Address(), account, nil); !errors.Is(err, target.ErrNoSlot) {
		t.Fatalf("third slot: got error %v, want ErrNoSlot", err)
	}
	if _, err := dialControl(t, s).Status(testContext(t), 0, 0); err != nil {
		t.Fatalf("status on a control connection while all slots are in use: %v", err)
	}
	first.Close()
	await(t, "slot is free after its connection was closed", func() bool {
		slot, err := target.DialSlot(testContext(t), s.Address(), account, nil)
		if err == nil {
			slot.Close()
		}
		return err == nil
	})
}

func TestUnreachableTarget(t *testing.T) {
	s := startTarget(t, Options{})
	address := s.Address()
	s.Close()
	if _, err := target.DialSlot(testContext(t), address, account, nil); !errors.Is(err, target.ErrUnreachable) {
		t.Fatalf("dial a closed target: got error %v, want ErrUnreachable", err)
	}
	if _, err := target.DialControl(testContext(t), address, account); !errors.Is(err, target.ErrUnreachable) {
		t.Fatalf("dial a closed target: got error %v, want ErrUnreachable", err)
	}
}

func TestSCRAM(t *testing.T) {
	s := startTarget(t, Options{User: "gate", Password: "pencil"})
	options := target.Options{User: "gate", Password: "pencil", Database: "rounds"}
	slot, err := target.DialSlot(testContext(t), s.Address(), options, nil)
	if err != nil {
		t.Fatal(err)
	}
	slot.Close()
	options.Password = "pen"
	if _, err := target.DialSlot(testContext(t), s.Address(), options, nil); !errors.Is(err, target.ErrAuthentication) {
		t.Fatalf("wrong password: got error %v, want ErrAuthentication", err)
	}
	replica := startTarget(t, Options{Name: "b", InitialRole: target.RoleReplica, Primary: s.Address(), User: "gate", Password: "pencil"})
	options.Password = "pencil"
	slot, err = target.DialSlot(testContext(t), s.Address(), options, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer slot.Close()
	send(t, slot, &pgproto3.Query{String: "CREATE TABLE t (v text)"})
	readTypes(t, slot, 1)
	awaitApplied(t, replica, s)
}

func TestTLS(t *testing.T) {
	certificate, pool := newCertificate(t)
	s := startTarget(t, Options{TLS: &tls.Config{Certificates: []tls.Certificate{certificate}}})
	options := account
	options.TLS = func() *tls.Config { return &tls.Config{RootCAs: pool} }
	slot, err := target.DialSlot(testContext(t), s.Address(), options, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer slot.Close()
	send(t, slot, &pgproto3.Query{String: target.StatusQuery})
	if types, _ := readTypes(t, slot, 1); types != "TDCZ" {
		t.Fatalf("message types: got %q, want TDCZ", types)
	}
	plain := startTarget(t, Options{})
	if _, err := target.DialSlot(testContext(t), plain.Address(), options, nil); !errors.Is(err, target.ErrUnreachable) {
		t.Fatalf("dial with TLS to a target without it: got error %v, want ErrUnreachable", err)
	}
}

// newCertificate returns a self-signed certificate for 127.0.0.1 and a pool that contains it.
func newCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

func TestCancelRequestOfTheAdapter(t *testing.T) {
	s := startTarget(t, Options{})
	slot := dialSlot(t, s, nil)
	send(t, slot, &pgproto3.Query{String: "SELECT pg_sleep(15)"})
	await(t, "statement is running", func() bool {
		sessions := s.openSessions()
		return len(sessions) == 1 && sessions[0].running.Load()
	})
	if err := target.SendCancelRequest(testContext(t), s.Address(), account, slot.ProcessID, slot.SecretKey); err != nil {
		t.Fatal(err)
	}
	if types, _ := readTypes(t, slot, 1); types != "EZ" {
		t.Fatalf("message types: got %q, want EZ", types)
	}
}

func TestFailedStatusClosesTheConnection(t *testing.T) {
	s := startTarget(t, Options{})
	control := dialControl(t, s)
	s.SetFaults(Faults{Partitioned: true})
	ctx, cancel := context.WithCancel(testContext(t))
	cancel()
	if _, err := control.Status(ctx, 0, 0); err == nil {
		t.Fatal("status at a partitioned target succeeded, want an error")
	}
	s.SetFaults(Faults{})
	if _, err := control.Status(testContext(t), 0, 0); err == nil {
		t.Fatal("status on a connection after a failed call succeeded, want an error")
	}
}

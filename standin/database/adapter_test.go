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

// readTypes reads up to the given number of ReadyForQuery messages and returns the types of all
// messages. The values of the last row go to row.
func readTypes(t testing.TB, slot *target.Slot, ready int) (types string, row [][]byte) {
	t.Helper()
	for ready > 0 {
		messageType, body, err := slot.ReadRaw()
		if err != nil {
			t.Fatalf("after %q: %v", types, err)
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
		t.Fatalf("start-up gave %v, process %d", slot.ParameterStatus, slot.ProcessID)
	}
	send(t, slot, &pgproto3.Query{String: "CREATE TABLE t (v text)"})
	readTypes(t, slot, 1)
	send(t, slot, &pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "INSERT INTO t VALUES ('x')"},
		&pgproto3.Query{String: "COMMIT"}, &pgproto3.Query{String: target.StatusQuery})
	types, row := readTypes(t, slot, 4)
	if types != "CZCZCZTDCZ" {
		t.Fatalf("answers are %q", types)
	}
	status, err := target.ParseStatusRow(row)
	if err != nil || status != s.Status() || status.Received != 2 {
		t.Fatalf("status is %+v, %v", status, err)
	}
}

func TestSlotRelaysLargeRowsAndErrorsSkipToSync(t *testing.T) {
	slot := dialSlot(t, startTarget(t, Options{}), nil)
	send(t, slot, &pgproto3.Query{String: "SELECT hex(zeroblob(100000))"})
	types, row := readTypes(t, slot, 1)
	if types != "TDCZ" || len(row[0]) != 200000 {
		t.Fatalf("answers are %q", types)
	}
	send(t, slot, &pgproto3.Parse{Query: "SELECT * FROM missing"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Parse{Query: "SELECT generate_series(1, 5)"}, &pgproto3.Bind{}, &pgproto3.Execute{MaxRows: 3},
		&pgproto3.Execute{MaxRows: 3}, &pgproto3.Sync{}, &pgproto3.Query{String: ";"})
	if types, _ = readTypes(t, slot, 3); types != "EZ12DDDsDDCZIZ" {
		t.Fatalf("answers are %q", types)
	}
}

func TestSlotsAreLimited(t *testing.T) {
	s := startTarget(t, Options{Slots: 2})
	first := dialSlot(t, s, nil)
	dialSlot(t, s, nil)
	if _, err := target.DialSlot(testContext(t), s.Address(), account, nil); !errors.Is(err, target.ErrNoSlot) {
		t.Fatalf("third slot gives %v", err)
	}
	if _, err := dialControl(t, s).Status(testContext(t), 0, 0); err != nil {
		t.Fatalf("control connection gives %v", err)
	}
	first.Close()
	await(t, "slot is free again", func() bool {
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
		t.Fatalf("closed target gives %v", err)
	}
	if _, err := target.DialControl(testContext(t), address, account); !errors.Is(err, target.ErrUnreachable) {
		t.Fatalf("closed target gives %v", err)
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
		t.Fatalf("wrong password gives %v", err)
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
		t.Fatalf("answers are %q", types)
	}
	plain := startTarget(t, Options{})
	if _, err := target.DialSlot(testContext(t), plain.Address(), options, nil); !errors.Is(err, target.ErrUnreachable) {
		t.Fatalf("target without TLS gives %v", err)
	}
}

// newCertificate returns a certificate for 127.0.0.1 and the pool that trusts it.
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
	await(t, "statement runs", func() bool {
		sessions := s.openSessions()
		return len(sessions) == 1 && sessions[0].running.Load()
	})
	if err := target.SendCancelRequest(testContext(t), s.Address(), account, slot.ProcessID, slot.SecretKey); err != nil {
		t.Fatal(err)
	}
	if types, _ := readTypes(t, slot, 1); types != "EZ" {
		t.Fatalf("answers are %q", types)
	}
}

func TestFailedStatusClosesTheConnection(t *testing.T) {
	s := startTarget(t, Options{})
	control := dialControl(t, s)
	s.SetKnobs(Knobs{Cut: true})
	ctx, cancel := context.WithCancel(testContext(t))
	cancel()
	if _, err := control.Status(ctx, 0, 0); err == nil {
		t.Fatal("a cut target answered")
	}
	s.SetKnobs(Knobs{})
	if _, err := control.Status(testContext(t), 0, 0); err == nil {
		t.Fatal("the connection was used again after a failure")
	}
}

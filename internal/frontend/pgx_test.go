package frontend

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/internal/credential"
)

func withPassword(t *testing.T) func(*Options) {
	verifier, err := credential.Make("pencil", credential.DefaultIterations, []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	return func(o *Options) { o.Credentials = fakeCredentials{"crew": verifier} }
}

// selfSigned returns a TLS configuration that provides its certificate through GetCertificate, like
// one whose certificate is renewed.
func selfSigned(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate := &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificate, nil }}
}

func TestPgx(t *testing.T) {
	runner := newFakeRunner()
	withUser := withPassword(t)
	server := startServer(t, runner, func(o *Options) {
		withUser(o)
		o.TLS = selfSigned(t)
	})
	address := "crew:pencil@" + server.Addr().String() + "/kelani.rounds?application_name=rounds"
	for _, extra := range []string{"&sslmode=disable", "&sslmode=require", "&sslmode=require&max_protocol_version=3.2"} {
		conn, err := pgx.Connect(context.Background(), "postgres://"+address+extra)
		if err != nil {
			t.Fatal(err)
		}
		usePgx(t, conn)
		conn.Close(context.Background())
	}
	if last := runner.lastBatch(t); !last.InTransaction || last.Access != "write" {
		t.Errorf("commit: in transaction = %v, access = %s; want true, write", last.InTransaction, last.Access)
	}
	_, err := pgx.Connect(context.Background(), "postgres://"+strings.Replace(address, "pencil", "wrong", 1))
	if err == nil || !strings.Contains(err.Error(), "28P01") {
		t.Errorf("wrong password: error = %v, want 28P01", err)
	}
}

// usePgx runs a batch, a query of the frontend itself, and a transaction with cached statements, which it commits.
func usePgx(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	ctx := context.Background()
	batch := &pgx.Batch{}
	for range 3 {
		batch.Queue("INSERT INTO t VALUES ($1)", "a")
	}
	if err := conn.SendBatch(ctx, batch).Close(); err != nil {
		t.Fatal(err)
	}
	var value string
	if err := conn.QueryRow(ctx, "SHOW papayacove.position").Scan(&value); err != nil || value != "3/42" {
		t.Errorf("position = %q, error %v; want 3/42", value, err)
	}
	if got := conn.PgConn().ParameterStatus("application_name"); got != "rounds" {
		t.Errorf("application_name = %q, want rounds", got)
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := tx.QueryRow(ctx, "SELECT v FROM cabinet WHERE name = $1", "c1").Scan(&value); err != nil || value != "row" {
			t.Errorf("value = %q, error %v; want row", value, err)
		}
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
}

package frontend

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// fakeRunner opens fake sessions and records their batches. A session answers a statement with one row and tracks
// the transaction status through BEGIN, COMMIT and ROLLBACK. A statement ERROR fails.
type fakeRunner struct {
	mutex   sync.Mutex
	batches []Batch
	opened  int
	closed  int
	// violationTexts describe batches that do not agree with the transaction status of the target.
	violationTexts []string
	// fail returns the error for a batch, or nil.
	fail func(*Batch) *result.Error
	// hold blocks batches until it is closed; nil does not block.
	hold chan struct{}
	// running receives a value when a batch begins to block, and cancelled one for each Cancel.
	running   chan struct{}
	cancelled chan struct{}
}

func newFakeRunner() *fakeRunner {
	return &fakeRunner{running: make(chan struct{}, 100), cancelled: make(chan struct{}, 100)}
}

func (r *fakeRunner) Open(context.Context, Session) (SessionRunner, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.opened++
	return &fakeSession{runner: r, status: StatusIdle, portals: map[string]string{}, prepared: map[string]string{}}, nil
}

func (r *fakeRunner) recorded() []Batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Batch(nil), r.batches...)
}

// reset removes the recorded batches and violations and the function fail.
func (r *fakeRunner) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.batches, r.violationTexts, r.fail = nil, nil, nil
}

func (r *fakeRunner) violations() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.violationTexts
}

// require records the violation what unless holds is true. The mutex must not be held.
func (r *fakeRunner) require(holds bool, what string) {
	if holds {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violationTexts = append(r.violationTexts, what)
}

func (r *fakeRunner) closedSessions() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

// lastBatch returns the batch that ran last.
func (r *fakeRunner) lastBatch(t *testing.T) Batch {
	t.Helper()
	batches := r.recorded()
	if len(batches) == 0 {
		t.Fatal("no batch ran")
	}
	return batches[len(batches)-1]
}

type fakeSession struct {
	runner   *fakeRunner
	status   byte
	prepared map[string]string
	portals  map[string]string
}

func (s *fakeSession) Cancel()                { s.runner.cancelled <- struct{}{} }
func (s *fakeSession) Position() api.Position { return api.Position{Term: 3, Offset: 42} }

func (s *fakeSession) Close() {
	s.runner.mutex.Lock()
	defer s.runner.mutex.Unlock()
	s.runner.closed++
}

func (s *fakeSession) Run(ctx context.Context, batch *Batch, emit func([]byte) error) (Outcome, error) {
	kept := *batch
	kept.Messages = append([]byte(nil), batch.Messages...)
	s.runner.mutex.Lock()
	s.runner.batches = append(s.runner.batches, kept)
	fail, hold := s.runner.fail, s.runner.hold
	s.runner.mutex.Unlock()
	if hold != nil {
		s.runner.running <- struct{}{}
		select {
		case <-hold:
		case <-ctx.Done():
			return Outcome{}, result.Errorf(result.OutcomeUnknown, "cut")
		}
	}
	if fail != nil {
		if err := fail(&kept); err != nil {
			s.status = StatusIdle
			return Outcome{}, err
		}
	}
	s.runner.require(batch.InTransaction == (s.status != StatusIdle), "InTransaction does not agree with the transaction status")
	for _, p := range batch.Prepared {
		s.prepared[p.Name] = p.Query
	}
	out, err := s.answer(kept.Messages)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{TransactionStatus: s.status}, emit(out)
}

// answer decodes the batch with pgproto3, so that a message that was rewritten wrongly is detected.
func (s *fakeSession) answer(messages []byte) ([]byte, error) {
	backend := pgproto3.NewBackend(strings.NewReader(string(messages)), io.Discard)
	var out []byte
	parsed := map[string]bool{}
	for {
		message, err := backend.Receive()
		if err != nil {
			return out, nil
		}
		switch m := message.(type) {
		case *pgproto3.Query:
			out = s.run(appendMessage(out, rowDescription()), m.String)
			out = s.ready(out)
		case *pgproto3.Parse:
			s.runner.require(m.Name == "" || !parsed[m.Name], "a batch parses a name twice, want once")
			parsed[m.Name] = true
			s.prepared[m.Name] = m.Query
			out = appendMessage(out, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			query, ok := s.prepared[m.PreparedStatement]
			if !ok {
				return nil, result.Errorf(result.Internal, "statement %q is not prepared", m.PreparedStatement)
			}
			s.portals[m.DestinationPortal] = query
			out = appendMessage(out, &pgproto3.BindComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				out = appendMessage(out, &pgproto3.ParameterDescription{ParameterOIDs: parameterOIDs(s.prepared[m.Name])})
			}
			out = appendMessage(out, rowDescription())
		case *pgproto3.Execute:
			out = s.run(out, s.portals[m.Portal])
		case *pgproto3.Close:
			out = appendMessage(out, &pgproto3.CloseComplete{})
		case *pgproto3.Flush:
			s.status = StatusOpenPipeline
		case *pgproto3.Sync:
			if s.status == StatusOpenPipeline {
				s.status = StatusIdle
			}
			out = s.ready(out)
		}
	}
}

func parameterOIDs(query string) []uint32 {
	if strings.Contains(query, "$1") {
		return []uint32{textOID}
	}
	return nil
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("v"), DataTypeOID: textOID, DataTypeSize: variableSize, TypeModifier: -1},
	}}
}

func (s *fakeSession) ready(out []byte) []byte {
	return appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: s.status})
}

func (s *fakeSession) run(out []byte, query string) []byte {
	s.runner.require(s.status != StatusIdle || !strings.HasSuffix(query, "open=true"), query+" ran outside its block")
	s.runner.require(s.status == StatusIdle || !strings.HasSuffix(query, "open=false"), query+" ran in a block")
	verb, _, _ := strings.Cut(strings.ToUpper(strings.TrimSpace(query)), " ")
	verb = strings.TrimSuffix(verb, ";")
	switch verb {
	case "ERROR":
		return appendMessage(out, &pgproto3.ErrorResponse{Severity: "ERROR", Code: "XX000"})
	case "BEGIN", "START":
		s.status = StatusTransaction
	case "COMMIT", "ROLLBACK", "END":
		s.status = StatusIdle
	default:
		out = appendMessage(out, &pgproto3.DataRow{Values: [][]byte{[]byte("row")}})
	}
	return appendMessage(out, &pgproto3.CommandComplete{CommandTag: []byte(verb)})
}

// fakeCredentials contains the workspace kelani with the group rounds, and maps users to their verifiers.
type fakeCredentials map[string]string

func (d fakeCredentials) Credential(workspace, group, user string) (Credential, error) {
	if workspace != "kelani" {
		return Credential{}, result.Errorf(result.UnknownWorkspace, "workspace %q", workspace)
	}
	if group != "rounds" {
		return Credential{}, result.Errorf(result.UnknownGroup, "group %q", group)
	}
	verifier, ok := d[user]
	if !ok {
		return Credential{}, result.Errorf(result.AuthenticationFailed, "user %q", user)
	}
	return Credential{Verifier: verifier, MaxAge: noMaxAge}, nil
}

// startServer runs a server on a free port until the test ends. change may modify its options.
func startServer(t testing.TB, runner Runner, change func(*Options)) *Server {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	options := Options{
		Address:     "127.0.0.1:0",
		Runner:      runner,
		Credentials: fakeCredentials{"crew": ""},
		Name:        "test",
		Logger:      logger,
	}
	if change != nil {
		change(&options)
	}
	server := NewServer(options)
	if err := server.Init(context.Background()); err != nil {
		t.Fatal(err)
	}
	go server.Run(context.Background())
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server.Drain(ctx)
	})
	return server
}

// client is a caller that sends and receives single protocol messages.
type client struct {
	*pgproto3.Frontend
	t    testing.TB
	conn net.Conn
	key  *pgproto3.BackendKeyData
}

// dial opens a session as user crew with additional start-up parameters.
func dial(t testing.TB, server *Server, parameters map[string]string) *client {
	t.Helper()
	c := dialRaw(t, server)
	c.startUp(parameters)
	for {
		switch m := c.receive().(type) {
		case *pgproto3.BackendKeyData:
			key := *m
			c.key = &key
		case *pgproto3.ReadyForQuery:
			return c
		case *pgproto3.ErrorResponse:
			t.Fatalf("start-up failed: %s %s", m.Code, m.Message)
		}
	}
}

func dialRaw(t testing.TB, server *Server) *client {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(time.Minute))
	return &client{Frontend: pgproto3.NewFrontend(conn, conn), t: t, conn: conn}
}

func (c *client) startUp(parameters map[string]string) {
	all := map[string]string{"user": "crew", "database": "kelani.rounds"}
	for name, value := range parameters {
		all[name] = value
	}
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: all})
}

func (c *client) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, m := range messages {
		c.Send(m)
	}
	if err := c.Flush(); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) receive() pgproto3.BackendMessage {
	c.t.Helper()
	message, err := c.Receive()
	if err != nil {
		c.t.Fatal(err)
	}
	return message
}

// answers returns the messages up to ReadyForQuery in the short form of describe, separated by blanks.
func (c *client) answers() string {
	c.t.Helper()
	var texts []string
	for {
		message := c.receive()
		texts = append(texts, describe(message))
		if _, isReady := message.(*pgproto3.ReadyForQuery); isReady {
			return strings.Join(texts, " ")
		}
	}
}

func (c *client) query(text string) string {
	c.t.Helper()
	c.send(&pgproto3.Query{String: text})
	return c.answers()
}

// describe returns a short form of a message.
func describe(message pgproto3.BackendMessage) string {
	switch m := message.(type) {
	case *pgproto3.ErrorResponse:
		return "error:" + m.Code
	case *pgproto3.CommandComplete:
		return "done:" + string(m.CommandTag)
	case *pgproto3.DataRow:
		return "row:" + string(m.Values[0])
	case *pgproto3.ReadyForQuery:
		return "ready:" + string(m.TxStatus)
	case *pgproto3.ParameterStatus:
		return m.Name + "=" + m.Value
	case *pgproto3.RowDescription:
		return "columns"
	case *pgproto3.ParameterDescription:
		return "parameters"
	case *pgproto3.ParseComplete:
		return "parsed"
	case *pgproto3.BindComplete:
		return "bound"
	case *pgproto3.CloseComplete:
		return "closed"
	case *pgproto3.NoData:
		return "nodata"
	}
	return "other"
}

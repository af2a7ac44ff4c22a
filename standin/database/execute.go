package database

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"

	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/standin/database/sqltext"
)

// rowSink receives the rows of a statement. The type OID of a column may be 0, which is unknown.
type rowSink interface {
	row(stmt *sqlite.Stmt, columns []column) error
}

// runStatement executes one statement, sends its rows to sink and returns its command tag.
func (s *session) runStatement(p *prepared, params []datum, sink rowSink) (tag string, err error) {
	end := s.startStatement()
	defer end()
	switch p.statement.Kind {
	case sqltext.KindRead, sqltext.KindWrite, sqltext.KindSchema:
		return s.runData(p, params, sink)
	case sqltext.KindBegin, sqltext.KindCommit, sqltext.KindRollback, sqltext.KindSavepoint:
		return s.runTransaction(p)
	}
	if s.transaction.failed {
		return "", s.admit(&p.statement)
	}
	switch p.statement.Kind {
	case sqltext.KindSet:
		return "SET", s.runSet(&p.statement)
	case sqltext.KindReset:
		return s.runReset(&p.statement)
	default:
		return p.statement.Tag, nil
	}
}

// runData runs a statement in SQLite. A statement that changed rows or the schema is added to the log record.
func (s *session) runData(p *prepared, params []datum, sink rowSink) (string, error) {
	if err := s.admit(&p.statement); err != nil {
		return "", err
	}
	seed := newSeed()
	s.setEvalContext(seed)
	stmt, err := s.db.conn.Prepare(p.statement.SQL)
	if err != nil {
		return "", s.db.interruptCause(err)
	}
	rows := 0
	schemaBefore := s.db.schemaCookie(p.statement.Kind)
	err = s.db.run(stmt, func(stmt *sqlite.Stmt) error {
		rows++
		if err := s.db.checkInterrupt(); err != nil {
			return err
		}
		return sink.row(stmt, p.columns)
	}, params)
	if err == nil {
		err = s.db.checkInterrupt()
	}
	if err != nil {
		return "", err
	}
	changes := s.db.conn.Changes()
	schemaChanged := s.db.schemaCookie(p.statement.Kind) != schemaBefore
	if schemaChanged || p.statement.Kind == sqltext.KindWrite && changes > 0 {
		s.logWrite(p, params, seed)
	}
	return commandTag(p, rows, changes), nil
}

// setEvalContext sets the values that SQL functions read while the statement runs.
func (s *session) setEvalContext(seed uint64) {
	now := s.transaction.now
	if now == "" {
		now = storedNow()
	}
	s.db.eval.startTransaction(now)
	s.db.eval.startStatement(seed)
	s.db.eval.processID = s.processID
	s.db.eval.database = s.settings.get("database")
	s.db.eval.recovering = s.target.checkPrimary(s.target.snapshot().Term) != nil
	s.db.eval.settings = s.settings.values
	s.db.eval.assign = func(name, value string, local bool) {
		s.settings.set(name, value, local, s.transaction.block)
		s.reportSetting(name)
	}
}

// commandTag returns the tag of CommandComplete.
func commandTag(p *prepared, rows, changes int) string {
	switch p.statement.Tag {
	case "INSERT":
		return "INSERT 0 " + strconv.Itoa(changes)
	case "UPDATE", "DELETE":
		return p.statement.Tag + " " + strconv.Itoa(changes)
	}
	if p.statement.Kind == sqltext.KindRead || p.statement.Kind == sqltext.KindWrite && p.returnsRows() {
		return "SELECT " + strconv.Itoa(rows)
	}
	return p.statement.Tag
}

// runTransaction executes BEGIN, COMMIT, ROLLBACK and the savepoint statements.
func (s *session) runTransaction(p *prepared) (string, error) {
	statement := &p.statement
	switch statement.Kind {
	case sqltext.KindBegin:
		return statement.Tag, s.begin(statement.ReadOnly)
	case sqltext.KindCommit:
		if s.transaction.failed {
			s.abort()
			return "ROLLBACK", nil
		}
		return statement.Tag, s.commit()
	case sqltext.KindRollback:
		s.abort()
		return statement.Tag, nil
	default:
		return statement.Tag, s.runSavepoint(p)
	}
}

func (s *session) runSavepoint(p *prepared) error {
	t := &s.transaction
	if !t.block {
		return failuref(sqlStateNoTransaction, "%s can only be used in transaction blocks", p.statement.Tag)
	}
	if t.failed && (!p.statement.RollbackTo || !t.open) {
		return s.admit(&p.statement)
	}
	if err := s.db.exec(p.statement.SQL); err != nil {
		return err
	}
	t.savepoints = true
	t.failed = false
	if t.writes {
		t.log = append(t.log, loggedStatement{SQL: p.statement.SQL})
	}
	return nil
}

func (s *session) runSet(statement *sqltext.Statement) error {
	if statement.Setting == "transaction" {
		s.transaction.readOnly = s.transaction.readOnly || statement.ReadOnly && s.transaction.block
		return nil
	}
	if statement.Local && !s.transaction.block {
		return nil
	}
	s.settings.set(statement.Setting, statement.Value, statement.Local, s.transaction.block)
	s.reportSetting(statement.Setting)
	return nil
}

// runReset executes RESET, DISCARD and DEALLOCATE.
func (s *session) runReset(statement *sqltext.Statement) (string, error) {
	switch {
	case statement.Tag == "RESET":
		s.settings.reset(statement.Setting)
		return "RESET", nil
	case statement.Tag == "DEALLOCATE" && statement.Setting == "all":
		s.statements = make(map[string]*prepared)
		return "DEALLOCATE ALL", nil
	case statement.Tag == "DEALLOCATE":
		delete(s.statements, statement.Setting)
		return "DEALLOCATE", nil
	}
	if s.transaction.block {
		return "", failuref(sqlStateActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	if statement.Setting == "all" {
		s.settings.reset("all")
		s.statements = make(map[string]*prepared)
		s.portals = make(map[string]*portal)
	}
	return "DISCARD ALL", nil
}

// reportSetting sends the value of a setting to the client if it is one of reportedSettings.
func (s *session) reportSetting(name string) {
	for _, reported := range reportedSettings {
		if strings.EqualFold(reported, name) {
			s.backend.Send(&pgproto3.ParameterStatus{Name: reported, Value: s.settings.get(name)})
		}
	}
}

// applyStartup applies the settings of the start-up message, including those inside options.
func (s *session) applyStartup(parameters map[string]string) {
	for name, value := range parameters {
		if name == "options" {
			s.applyOptions(value)
			continue
		}
		s.settings.values[strings.ToLower(name)] = value
	}
	s.settings.saveAsDefaults()
}

// applyOptions applies settings given as "-c name=value" or "--name=value".
func (s *session) applyOptions(options string) {
	for _, field := range strings.Fields(strings.ReplaceAll(options, "-c ", "-c")) {
		name, value, ok := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(field, "--"), "-c"), "=")
		if ok {
			s.settings.values[strings.ToLower(name)] = value
		}
	}
}

// showSetting returns the value that SHOW reports.
func (s *session) showSetting(name string) string {
	if name == "transaction_read_only" {
		readOnly := s.transaction.readOnly || s.target.snapshot().Role != target.RolePrimary
		return onOff(readOnly)
	}
	if name == "in_hot_standby" {
		return onOff(s.target.snapshot().Role != target.RolePrimary)
	}
	return s.settings.get(name)
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

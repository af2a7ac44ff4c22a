package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"zombiezen.com/go/sqlite"
)

// portal is a bound statement.
type portal struct {
	prepared *prepared
	params   []datum
	formats  []int16
	// rows are the encoded rows not sent yet. They are buffered once the client has executed the
	// portal with a row limit.
	rows     [][][]byte
	buffered bool
	tag      string
}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return failuref(sqlStateDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	p, err := s.prepare(m.Query, m.ParameterOIDs)
	if err != nil {
		return err
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return failuref(sqlStateInvalidStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.parameters) {
		return failuref(sqlStateProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.parameters))
	}
	params := make([]datum, len(m.Parameters))
	for i, raw := range m.Parameters {
		d, err := decode(s.types(), raw, p.parameters[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		params[i] = d
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{prepared: p, params: params, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := s.statements[m.Name]
		if !ok {
			return failuref(sqlStateInvalidStatement, "prepared statement %q does not exist", m.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameters})
		s.describeColumns(p, nil)
		return nil
	}
	o, ok := s.portals[m.Name]
	if !ok {
		return failuref(sqlStateInvalidPortal, "portal %q does not exist", m.Name)
	}
	s.describeColumns(o.prepared, o.formats)
	return nil
}

func (s *session) describeColumns(p *prepared, formats []int16) {
	if !p.returnsRows() {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(p.columns, formats))
}

func (s *session) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(s.statements, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
	return nil
}

func (s *session) execute(m *pgproto3.Execute) error {
	o, ok := s.portals[m.Portal]
	if !ok {
		return failuref(sqlStateInvalidPortal, "portal %q does not exist", m.Portal)
	}
	if o.prepared.statement.Tag == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if m.MaxRows > 0 || o.buffered {
		return s.executeLimited(o, int(m.MaxRows))
	}
	tag, err := s.runStatement(o.prepared, o.params, &portalSink{session: s, formats: o.formats})
	if err != nil {
		return err
	}
	if err := s.sendSyntheticPortalRow(o); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func (s *session) sendSyntheticPortalRow(o *portal) error {
	row, err := s.syntheticRow(o.prepared, o.formats)
	if err != nil || row == nil {
		return err
	}
	return s.sendRow(row)
}

// executeLimited sends up to limit of the remaining rows of a portal; 0 sends all of them.
func (s *session) executeLimited(o *portal, limit int) error {
	if !o.buffered {
		sink := &bufferSink{portal: o}
		tag, err := s.runStatement(o.prepared, o.params, sink)
		if err != nil {
			return err
		}
		row, err := s.syntheticRow(o.prepared, o.formats)
		if err != nil {
			return err
		}
		if row != nil {
			o.rows = append(o.rows, row)
		}
		o.buffered = true
		o.tag = tag
	}
	if limit == 0 || limit > len(o.rows) {
		limit = len(o.rows)
	}
	for _, row := range o.rows[:limit] {
		if err := s.sendRow(row); err != nil {
			return err
		}
	}
	o.rows = o.rows[limit:]
	if len(o.rows) > 0 {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.tag)})
	return nil
}

// portalSink sends rows to the client in the formats of the portal.
type portalSink struct {
	session *session
	formats []int16
}

func (k *portalSink) row(stmt *sqlite.Stmt, columns []column) error {
	values, err := k.session.row.encodeRow(stmt, columns, k.formats)
	if err != nil {
		return err
	}
	return k.session.sendRow(values)
}

// bufferSink buffers the rows of a portal that is fetched in parts.
type bufferSink struct {
	portal *portal
}

func (k *bufferSink) row(stmt *sqlite.Stmt, columns []column) error {
	var buffer rowBuffer
	values, err := buffer.encodeRow(stmt, columns, k.portal.formats)
	k.portal.rows = append(k.portal.rows, values)
	return err
}

// types returns the codecs of the less common types, which it creates on first use.
func (s *session) types() *pgtype.Map {
	if s.typeMap == nil {
		s.typeMap = pgtype.NewMap()
	}
	return s.typeMap
}

package database

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/dialer"
	"github.com/papayacove/papayacove/internal/target"
)

const (
	// streamTimeout is the silence after which a replica connects anew.
	streamTimeout = time.Second
	// reconnectDelay is the pause between two attempts to stream.
	reconnectDelay = 100 * time.Millisecond
)

// receiveLoop streams from the primary while the target is a replica.
func (t *Target) receiveLoop() {
	for t.ctx.Err() == nil {
		changed := t.watch()
		state := t.snapshot()
		if state.Role != target.RoleReplica || state.Primary == "" {
			select {
			case <-changed:
			case <-t.ctx.Done():
			}
			continue
		}
		if err := t.receive(state); err != nil {
			t.log.WithFields(logrus.Fields{"primary": state.Primary, "error": err}).Debug("stream_ended")
		}
		t.pause(reconnectDelay)
	}
}

// receive streams from the primary of state until the connection fails or the state changes.
func (t *Target) receive(state durableState) error {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	conn, err := t.dialPrimary(ctx, state)
	if err != nil {
		return err
	}
	network := conn.Conn()
	defer network.Close()
	stop := context.AfterFunc(ctx, func() { network.Close() })
	defer stop()
	go t.cancelOnChange(ctx, state, cancel)
	r := &receiver{target: t, state: state, frontend: conn.Frontend(), conn: network}
	if err := r.start(); err != nil {
		return err
	}
	for {
		if err := r.next(); err != nil {
			return err
		}
	}
}

// dialPrimary opens a control connection to the primary.
func (t *Target) dialPrimary(ctx context.Context, state durableState) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	host, port, err := net.SplitHostPort(state.Primary)
	if err != nil {
		return nil, fmt.Errorf("address of the primary: %w", err)
	}
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable", host, port))
	if err != nil {
		return nil, fmt.Errorf("configure stream: %w", err)
	}
	config.User = t.options.User
	config.Password = t.options.Password
	config.Database = target.ControlDatabase
	config.RuntimeParams["application_name"] = "standin-" + t.options.Name
	config.DialFunc = dialer.New(t.options.SourceAddress).DialContext
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("connect to primary: %w", err)
	}
	return conn, nil
}

// cancelOnChange calls cancel when the target gets another order than to follow state.
func (t *Target) cancelOnChange(ctx context.Context, state durableState, cancel context.CancelFunc) {
	defer cancel()
	for {
		changed := t.watch()
		if t.snapshot() != state {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// receiver is the replica's end of one stream.
type receiver struct {
	target   *Target
	state    durableState
	frontend *pgproto3.Frontend
	conn     net.Conn
	primary  string
}

// start asks for the stream and cuts off what the primary's log does not have.
func (r *receiver) start() error {
	segments, err := r.target.store.segments()
	if err != nil {
		return err
	}
	query := fmt.Sprintf("SELECT * FROM target_stream(%d, '%s', '%s')", r.state.Term, r.target.options.Name, formatSegments(segments))
	r.frontend.SendQuery(&pgproto3.Query{String: query})
	if err := r.frontend.Flush(); err != nil {
		return fmt.Errorf("ask for stream: %w", err)
	}
	f, err := r.readFrame()
	if err != nil {
		return err
	}
	r.primary = f.Primary
	return r.target.truncate(r.state, f.Match)
}

// readFrame returns the next frame.
func (r *receiver) readFrame() (frame, error) {
	for {
		r.conn.SetReadDeadline(time.Now().Add(streamTimeout))
		message, err := r.frontend.Receive()
		if err != nil {
			return frame{}, fmt.Errorf("read stream: %w", err)
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			return decodeFrame(m.Data)
		case *pgproto3.ErrorResponse:
			return frame{}, fmt.Errorf("primary refuses to stream: %s", m.Message)
		}
	}
}

// next stores the entries that have arrived.
func (r *receiver) next() error {
	batch, readErr := r.readBatch()
	if err := r.awaitPassage(batch); err != nil {
		return err
	}
	if err := r.target.storeEntries(r.state, batch); err != nil {
		return err
	}
	return readErr
}

// readBatch returns the entries that have arrived, also when reading fails after them.
func (r *receiver) readBatch() ([]entry, error) {
	var batch []entry
	for len(batch) == 0 || r.frontend.ReadBufferLen() > 0 && len(batch) < streamBatch {
		f, err := r.readFrame()
		if err != nil || f.Entry == nil {
			return batch, err
		}
		batch = append(batch, *f.Entry)
	}
	return batch, nil
}

// awaitPassage holds a batch back while the stream is cut or delayed.
func (r *receiver) awaitPassage(batch []entry) error {
	t := r.target
	for {
		if t.ctx.Err() != nil || t.snapshot() != r.state {
			return context.Canceled
		}
		changed := t.watch()
		knobs := t.Knobs()
		if !knobs.Cut && !slices.Contains(knobs.CutFrom, r.primary) {
			if len(batch) == 0 || t.awaitLag(batch[len(batch)-1].committedAt(), Knobs.receiveLag) {
				return nil
			}
			continue
		}
		select {
		case <-changed:
		case <-t.ctx.Done():
		}
	}
}

// storeEntries appends entries to the log, unless the target follows somebody else by now.
func (t *Target) storeEntries(state durableState, entries []entry) error {
	if len(entries) == 0 {
		return nil
	}
	return t.store.locked(func(c *sqlConn) error {
		t.orders.RLock()
		defer t.orders.RUnlock()
		if t.snapshot() != state {
			return failuref(stateWrongState, "target no longer follows %s", state.Primary)
		}
		last, _ := t.positions()
		err := c.inTransaction(func() error {
			return storeAll(c, last, entries)
		})
		if err != nil {
			return err
		}
		t.setReceived(entries[len(entries)-1].position())
		return nil
	})
}

func storeAll(c *sqlConn, last api.Position, entries []entry) error {
	for _, e := range entries {
		if err := storeEntry(c, last, e); err != nil {
			return err
		}
		last = e.position()
	}
	return nil
}

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
	// streamTimeout is the time without a message after which a replica reconnects. It also bounds
	// the connection attempt.
	streamTimeout = time.Second
	// reconnectDelay is the delay before the next attempt to stream.
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
		if err := r.storeNext(); err != nil {
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

// cancelOnChange calls cancel when the durable state differs from state, as after another order.
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

// receiver is the replica's end of one stream. One goroutine uses it.
type receiver struct {
	target   *Target
	state    durableState
	frontend *pgproto3.Frontend
	conn     net.Conn
	primary  string
}

// start requests the stream and truncates the log to the part that it has in common with the primary's.
func (r *receiver) start() error {
	segments, err := r.target.store.segments()
	if err != nil {
		return err
	}
	query := fmt.Sprintf("SELECT * FROM target_stream(%d, '%s', '%s')", r.state.Term, r.target.options.Name, formatSegments(segments))
	r.frontend.SendQuery(&pgproto3.Query{String: query})
	if err := r.frontend.Flush(); err != nil {
		return fmt.Errorf("request stream: %w", err)
	}
	f, err := r.readFrame()
	if err != nil {
		return err
	}
	r.primary = f.Primary
	return r.target.truncate(r.state, f.Match)
}

// readFrame returns the next frame. It fails if none arrives within streamTimeout.
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
			return frame{}, fmt.Errorf("primary refused the stream: %s", m.Message)
		}
	}
}

// storeNext stores the entries that have arrived, once no fault delays them.
func (r *receiver) storeNext() error {
	batch, readErr := r.readBatch()
	if err := r.awaitDelivery(batch); err != nil {
		return err
	}
	if err := r.target.storeEntries(r.state, batch); err != nil {
		return err
	}
	return readErr
}

// readBatch returns the entries that have arrived, or none for a heartbeat. If reading fails, it
// returns the entries before the failure with the error.
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

// awaitDelivery waits while the stream is partitioned or the batch is within its receive lag. It
// fails if the target stops or its durable state changes.
func (r *receiver) awaitDelivery(batch []entry) error {
	t := r.target
	for {
		if t.ctx.Err() != nil || t.snapshot() != r.state {
			return context.Canceled
		}
		changed := t.watch()
		faults := t.Faults()
		if !faults.Partitioned && !slices.Contains(faults.PartitionedFrom, r.primary) {
			if len(batch) == 0 || t.awaitLag(batch[len(batch)-1].committedAt(), Faults.receiveLag) {
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

// storeEntries appends entries to the log. It fails if the durable state is no longer state.
func (t *Target) storeEntries(state durableState, entries []entry) error {
	if len(entries) == 0 {
		return nil
	}
	return t.store.withWriteLock(func(c *sqlConn) error {
		t.roleMu.RLock()
		defer t.roleMu.RUnlock()
		if t.snapshot() != state {
			return failuref(sqlStateWrongState, "target no longer follows %s", state.Primary)
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

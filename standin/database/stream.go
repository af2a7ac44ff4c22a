package database

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayacove/papayacove/internal/target"
)

const (
	// streamHeartbeat is the interval after which an idle stream sends a heartbeat.
	streamHeartbeat = 250 * time.Millisecond
	// streamBatch is the maximum number of records read or stored at once.
	streamBatch = 256
)

// frame is one CopyData message of a stream.
type frame struct {
	// Primary and Match are set in the first frame only: the name of the sender and the offset up
	// to which both logs are equal.
	Primary string `json:"primary,omitempty"`
	Match   uint64 `json:"match,omitempty"`
	// Entry is absent in the first frame and in heartbeats.
	Entry *entry `json:"entry,omitempty"`
}

// stream sends the log to a replica, whose own log has the given segments, until the target is no
// longer the primary of term.
func (s *session) stream(term uint64, replica string, segments []segment) error {
	t := s.target
	if err := t.checkPrimary(term); err != nil {
		return err
	}
	own, err := t.store.segments()
	if err != nil {
		return err
	}
	s.conn.setPeerTarget(replica)
	match := commonOffset(own, segments)
	s.backend.Send(&pgproto3.CopyBothResponse{})
	if err := s.sendFrame(frame{Primary: t.options.Name, Match: match}); err != nil {
		return err
	}
	return s.streamAfter(term, match)
}

func (s *session) streamAfter(term, offset uint64) error {
	t := s.target
	for t.ctx.Err() == nil {
		if err := t.checkPrimary(term); err != nil {
			return err
		}
		entries, err := t.store.entriesAfter(offset, streamBatch)
		if err != nil {
			return err
		}
		for i := range entries {
			s.queueFrame(frame{Entry: &entries[i]})
			offset = entries[i].Offset
		}
		if err := s.flushFrames(len(entries) > 0); err != nil {
			return err
		}
		t.waitUntil(streamHeartbeat, func() bool {
			received, _ := t.positions()
			return received.Offset > offset || t.checkPrimary(term) != nil
		})
	}
	return nil
}

// flushFrames sends the queued frames, or a heartbeat when there are none.
func (s *session) flushFrames(queued bool) error {
	if !queued {
		s.queueFrame(frame{})
	}
	return s.flush()
}

func (s *session) sendFrame(f frame) error {
	s.queueFrame(f)
	return s.flush()
}

func (s *session) queueFrame(f frame) {
	encoded, err := json.Marshal(f)
	if err != nil {
		s.target.log.WithError(err).Error("encode_frame")
		return
	}
	s.backend.Send(&pgproto3.CopyData{Data: encoded})
}

// checkPrimary returns an error unless the target is the primary of term.
func (t *Target) checkPrimary(term uint64) error {
	current := t.snapshot()
	if current.Role != target.RolePrimary || current.Term != term {
		return failuref(sqlStateWrongState, "target is %s at term %d", current.Role, current.Term)
	}
	return nil
}

// decodeFrame decodes the content of a CopyData message.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := json.Unmarshal(data, &f); err != nil {
		return frame{}, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}

package database

import (
	"fmt"
	"strconv"
	"strings"

	"zombiezen.com/go/sqlite"
)

// segment is the part of a log that belongs to one term.
type segment struct {
	term uint64
	// last is the offset of the last record of the term.
	last uint64
}

const selectSegments = "SELECT term, max(log_offset) FROM standin_log GROUP BY term ORDER BY term"

// segments returns the segments of the log by ascending term.
func (s *store) segments() ([]segment, error) {
	var list []segment
	err := s.read(selectSegments, func(stmt *sqlite.Stmt) error {
		list = append(list, segment{uint64(stmt.ColumnInt64(0)), uint64(stmt.ColumnInt64(1))})
		return nil
	})
	return list, err
}

// commonOffset returns the last offset up to which two logs are equal, or 0. A term has only one
// primary, so records with the same term and offset are equal and so are the records before them.
func commonOffset(a, b []segment) uint64 {
	for i := len(a) - 1; i >= 0; i-- {
		for _, other := range b {
			if other.term == a[i].term {
				return min(a[i].last, other.last)
			}
		}
	}
	return 0
}

// formatSegments encodes the segments as term:last,term:last.
func formatSegments(list []segment) string {
	parts := make([]string, len(list))
	for i, s := range list {
		parts[i] = fmt.Sprintf("%d:%d", s.term, s.last)
	}
	return strings.Join(parts, ",")
}

// parseSegments decodes the output of formatSegments.
func parseSegments(text string) ([]segment, error) {
	if text == "" {
		return nil, nil
	}
	var list []segment
	for part := range strings.SplitSeq(text, ",") {
		term, last, _ := strings.Cut(part, ":")
		parsedTerm, err := strconv.ParseUint(term, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("segment %q: %w", part, err)
		}
		parsedLast, err := strconv.ParseUint(last, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("segment %q: %w", part, err)
		}
		list = append(list, segment{parsedTerm, parsedLast})
	}
	return list, nil
}

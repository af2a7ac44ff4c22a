package api

import "fmt"

// Compare returns -1 when p is before q, 0 when they are equal and 1 when p is after q. Positions are ordered by term, then
// by offset.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term != q.Term && p.Term < q.Term:
		return -1
	case p.Term != q.Term:
		return 1
	case p.Offset < q.Offset:
		return -1
	case p.Offset > q.Offset:
		return 1
	default:
		return 0
	}
}

// Max returns the later of two positions.
func (p Position) Max(q Position) Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// IsZero reports whether p is the position before the first log record.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns the position as term/offset.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

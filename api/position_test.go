package api

import "testing"

func TestCompareOrdersByTermThenOffset(t *testing.T) {
	older, newer := Position{Term: 1, Offset: 9}, Position{Term: 2, Offset: 1}
	if older.Compare(newer) >= 0 || older.Max(newer) != newer || newer.Compare(newer) != 0 {
		t.Error("positions are not ordered by term, then by offset")
	}
}

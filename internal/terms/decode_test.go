package terms

import (
	"strings"
	"testing"

	"github.com/papayacove/papayacove/api"
)

const goodRecord = `{"group":"g","term":3,"primary":"a","promoter":"d","reason":"r","change_id":"c","start":{"term":3,"offset":7}}`

// oddRecords are made of a good one by one replacement.
var oddRecords = map[string][2]string{
	"of another group": {`"g"`, `"h"`}, "no group": {`"group":"g",`, ``},
	"term too large":      {`"term":3,`, `"term":18446744073709551615,`},
	"term beyond 64 bits": {`"term":3,`, `"term":99999999999999999999,`},
	"negative term":       {`"term":3,`, `"term":-3,`}, "no term": {`"term":3,`, ``},
	"term a text": {`"term":3,`, `"term":"3",`}, "start too large": {`{"term":3`, `{"term":18446744073709551615`},
	"deep": {`"a"`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)}, "no object": {goodRecord, `7`},
	"nothing": {goodRecord, ``}, "null": {goodRecord, `null`},
}

// TestOddRecordIsNoTerm guards against a group whose promotions all look old: a record with a term that no promotion
// reaches, or of another group, would be the newest for good.
func TestOddRecordIsNoTerm(t *testing.T) {
	if record, err := DecodeRecord(api.Object{Name: "g", Data: []byte(goodRecord)}); err != nil || record.Term != 3 || record.Primary != "a" {
		t.Errorf("got %+v, error %v, want the record", record, err)
	}
	for name, change := range oddRecords {
		odd := strings.Replace(goodRecord, change[0], change[1], 1)
		if record, err := DecodeRecord(api.Object{Name: "g", Data: []byte(odd)}); err == nil || record != (api.TermRecord{}) {
			t.Errorf("%s: got %+v, want an error", name, record)
		}
	}
}

// FuzzRecord reads arbitrary records: nothing panics, and what is read is of its group and in range.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(goodRecord))
	for _, change := range oddRecords {
		f.Add([]byte(strings.Replace(goodRecord, change[0], change[1][:min(len(change[1]), 100)], 1)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(api.Object{Name: "g", Data: data})
		if err == nil && (record.Group != "g" || record.Term == 0 || record.Term > maxTerm) {
			t.Fatalf("%q: got %+v", data, record)
		}
	})
}

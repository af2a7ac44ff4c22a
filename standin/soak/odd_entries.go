package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"strings"

	"github.com/papayacove/papayacove/standin/lines"
)

// oddDocuments are documents that no reader of the store expects.
var oddDocuments = []string{
	strings.Repeat(`{"a":[`, 20_000) + strings.Repeat("]}", 20_000), `{"More":"` + strings.Repeat("x", 200_000) + `"}`,
	`null`, `7`, `[]`, `{}`, `""`, `"{"`, `{"Version":1e999}`, `{"holder":7}`,
	`{"name":"x","capacity":9000000000000000000,"address":"127.0.0.1:1"}`,
}

// oddFields are fields that make a good entry of a target one that names none.
var oddFields = []map[string]any{
	{"Address": "127.0.0.1:0"}, {"Address": "127.0.0.1:65536"}, {"Address": "0.0.0.0:1"}, {"Address": nil}, {"Address": 7},
	{"PoolSize": 1 << 40}, {"PoolSize": -5}, {"PoolSize": json.Number("1e999")}, {"Seq": nil}, {"Zone": ""},
	{"State": "asleep"}, {"DbRole": "witness"}, {"born": "yesterday"}, {"Version": nil},
}

// writeOddEntries stores odd objects beside those of the platform and the daemons, and in place of the promotion lock
// of a group. They stay until the end of the run, as nobody knows whose they are.
func writeOddEntries(f *lines.Fleet, random *rand.Rand) (string, func()) {
	g := f.Groups[random.Intn(len(f.Groups))]
	entry := map[string]any{
		"Backend": g.Name, "Address": "127.0.0.1:1", "Zone": "zone-1", "Version": "v1", "PoolSize": 5, "State": "ready",
		"WarmupLeftMs": 0, "DbRole": "replica", "Seq": 1, "born": 1,
	}
	maps.Copy(entry, oddFields[random.Intn(len(oddFields))])
	name := fmt.Sprintf("odd-%d", random.Intn(1000))
	f.Store.Put("servers", name+"-target", entry)
	kinds := []string{"servers", "config", "papayacove-daemons", "papayacove-duty", "papayacove-lost"}
	for _, kind := range kinds {
		f.Store.PutRaw(kind, name, json.RawMessage(oddDocuments[random.Intn(len(oddDocuments))]))
	}
	f.Store.PutRaw("papayacove-duty", g.Name, json.RawMessage(oddDocuments[random.Intn(len(oddDocuments))]))
	return g.Name + " " + name, func() {}
}

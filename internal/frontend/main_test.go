package frontend

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, unless a flag sets another, so that runs are reproducible. It also
// disables the files that rapid writes for failures.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if flag.Lookup(name).Value.String() != flag.Lookup(name).DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

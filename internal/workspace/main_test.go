package workspace

import (
	"flag"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestMain fixes the seed of the property tests, so that their results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}

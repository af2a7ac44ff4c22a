// Command review-3 plays the scripts of the third review against daemons that run as processes of their own, with the
// stand-ins of package lines for the platform, the databases and the clients.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/standin/lines"
)

// The exit codes of a script.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	argsLen = 3
)

// cases are the scripts by name.
var cases = map[string]func(*record, bool) (bool, error){
	"stop": playStop,
	"hang": playHang,
}

func main() {
	logrus.SetOutput(io.Discard)
	if len(os.Args) != argsLen || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(notRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	isBroken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	code := held
	switch {
	case err != nil:
		r.note("could not run: %s", err)
		code = notRun
	case isBroken:
		code = broken
	}
	r.note("exit %d", code)
	os.Exit(code)
}

// record is the record of a script. Its methods may be called concurrently.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// startFleet starts a fleet in a temporary folder, and returns the function that ends it.
func startFleet(options lines.FleetOptions) (*lines.Fleet, func(), error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, nil, err
	}
	options.Folder = folder
	if options.Binaries, err = filepath.Abs("target"); err != nil {
		return nil, nil, err
	}
	f, err := lines.StartFleet(options)
	if err != nil {
		return nil, nil, err
	}
	return f, func() {
		f.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Println(folder)
		}
	}, nil
}

// awaitServed waits until each daemon serves a strict read.
func awaitServed(f *lines.Fleet, within time.Duration) error {
	end := time.Now().Add(within)
	for _, d := range f.Daemons {
		for !serves(d) {
			if time.Now().After(end) {
				return fmt.Errorf("%s serves nothing", d.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func serves(d *lines.Daemon) bool {
	c, err := lines.Dial(d.CallerAddress, lines.StrictDatabase)
	if err != nil {
		return false
	}
	defer c.Close()
	r, err := c.Run("READ start")
	return err == nil && r.Code == ""
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

const (
	hangTimeout = 1200 * time.Millisecond
	hangClients = 36
	// hangData is the size of a written value. A message may have 1 MiB.
	hangData = 250_000
	// hangBefore is the time of traffic before the machine is lost, hangAfter that after it.
	hangBefore = 3 * time.Second
	hangAfter  = 35 * time.Second
)

// waiting are the statements of one client.
type waiting struct {
	mu      sync.Mutex
	id      string
	size    string
	sentAt  time.Time
	answers map[string]int
}

// playHang loses the machine that holds the primary for good while clients of the other machines write values of 900 kB. It is
// broken if statements have no answer of any kind at the end.
func playHang(r *record, trouble bool) (bool, error) {
	f, end, err := startFleet(lines.FleetOptions{Daemons: 3, Connections: 34, Timeout: hangTimeout, Grace: 6 * time.Second})
	if err != nil {
		return false, err
	}
	defer end()
	relays := map[*lines.Daemon]*relay{}
	for _, d := range f.Daemons {
		address := d.PeerLink.Target()
		if relays[d], err = newRelay(address); err != nil {
			return false, err
		}
		// The daemons that start from now on tell each other the addresses of the relays.
		f.Store.Substitute(address, relays[d].address())
	}
	for _, d := range f.Daemons {
		d.Kill()
		if err := d.Start(); err != nil {
			return false, err
		}
	}
	if err := awaitServed(f, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(9 * time.Second)
	lost := f.Holder(f.Group)
	if lost == nil {
		return false, fmt.Errorf("no holder")
	}
	r.note("%s holds the primary", lost.Name)
	var clients []*waiting
	stop := make(chan struct{})
	for i := range hangClients {
		for _, d := range f.Daemons {
			if d != lost {
				c := &waiting{answers: map[string]int{}}
				clients = append(clients, c)
				go c.run(d, i, stop)
			}
		}
	}
	time.Sleep(hangBefore)
	r.note("answers so far: %v", sumOf(clients))
	if trouble {
		r.note("%s is lost for good", lost.Name)
		// Nobody resets a connection of a machine without power.
		relays[lost].lose()
		lost.Kill()
	}
	lostAt := time.Now()
	time.Sleep(hangAfter)
	hung := 0
	for i, c := range clients {
		c.mu.Lock()
		if c.id != "" && time.Since(c.sentAt) > 10*hangTimeout {
			hung++
			r.note("client %d: statement %s (%s), sent %.3f s after the loss, run %d times, has no answer after %.1f s",
				i+1, c.id, c.size, c.sentAt.Sub(lostAt).Seconds(), f.Group.ExecutionCount(c.id), time.Since(c.sentAt).Seconds())
		}
		c.mu.Unlock()
	}
	r.note("answers: %v", sumOf(clients))
	for _, d := range f.Daemons {
		if d != lost && trouble {
			began := time.Now()
			d.Signal(syscall.SIGTERM)
			ended := d.WaitForExit(8 * time.Second)
			r.note("%s ended %.3f s after a SIGTERM at the end: %t", d.Name, time.Since(began).Seconds(), ended)
		}
	}
	r.note("answers after that: %v", sumOf(clients))
	close(stop)
	r.note("%d of %d clients wait for an answer in vain, with a time limit of %s", hung, len(clients), hangTimeout)
	return hung > 0, nil
}

func sumOf(clients []*waiting) map[string]int {
	all := map[string]int{}
	for _, c := range clients {
		c.mu.Lock()
		for code, n := range c.answers {
			all[code] += n
		}
		c.mu.Unlock()
	}
	return all
}

// run writes until stop is closed, and waits for each answer.
func (c *waiting) run(d *lines.Daemon, number int, stop chan struct{}) {
	data := strings.Repeat("x", hangData)
	if number%4 == 0 {
		data = "small"
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		c.session(d, fmt.Sprintf("%s-%d-%d", d.Name, number, n), data, stop)
	}
}

// session opens a session, writes once and waits for the answer, or until stop is closed.
func (c *waiting) session(d *lines.Daemon, id, data string, stop chan struct{}) {
	conn, err := net.DialTimeout("tcp", d.CallerAddress, 2*time.Second)
	if err != nil {
		c.count("no session")
		return
	}
	defer conn.Close()
	go func() {
		<-stop
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP %s user\r\n", lines.SessionDatabase)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		c.count("no session")
		return
	}
	c.mu.Lock()
	c.id, c.size, c.sentAt = id, fmt.Sprintf("%d bytes", len(data)), time.Now()
	c.mu.Unlock()
	fmt.Fprintf(conn, "QUERY %s WRITE item-%s %s\r\n", id, id, data)
	code := "served"
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			select {
			case <-stop:
				return
			default:
			}
			code = "connection ended"
			break
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word == "ERROR" {
			code, _, _ = strings.Cut(rest, " ")
		}
		if word == "READY" {
			break
		}
	}
	c.mu.Lock()
	c.id = ""
	c.mu.Unlock()
	c.count(code)
}

func (c *waiting) count(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[code]++
}

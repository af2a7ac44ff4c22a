package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment: the platform, one service with three databases, daemons and clients.
type world struct {
	binary    string
	directory string
	began     time.Time
	store     *store
	group     *group
	storeURL  string
	provider  string
	daemons   []*daemon

	mu     sync.Mutex
	record *bufio.Writer
	// sent, acknowledged and arrivals are by the id of a statement. lost are the acknowledged writes that a promoted
	// database lacked.
	acknowledged map[string]time.Time
	lost         []string
	promotions   int
	writes       int
	failures     map[string]int
	stopped      atomic.Bool
	clients      sync.WaitGroup
}

// daemon is one process of the project.
type daemon struct {
	name, zone, callers, ready string
	settings                   string
	process                    *exec.Cmd
	output                     *os.File
}

func newWorld(binary, recordPath string) *world {
	directory, err := os.MkdirTemp("", "review")
	check(err)
	file, err := os.Create(recordPath)
	check(err)
	w := &world{
		binary: binary, directory: directory, began: time.Now(), store: newStore(), record: bufio.NewWriter(file),
		acknowledged: make(map[string]time.Time), failures: make(map[string]int),
	}
	w.group = &group{name: "rounds", world: w}
	w.group.received = sync.NewCond(&w.group.mu)
	w.storeURL = w.listen(w.store)
	w.provider = w.listen(http.HandlerFunc(w.order))
	return w
}

func (w *world) listen(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
	return "http://" + listener.Addr().String()
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// order answers POST /promote.
func (w *world) order(answer http.ResponseWriter, r *http.Request) {
	var body struct{ Backend, Id string }
	if r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&body) != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	target := w.group.find(body.Id)
	if target == nil || body.Backend != w.group.name {
		answer.WriteHeader(http.StatusConflict)
		return
	}
	w.note("POST /promote %s by %s, token %s", body.Id, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
	go w.group.promote(target)
}

// promoted notes a promotion, and which acknowledged writes the promoted database lacks. The lock of the group is held.
func (w *world) promoted(target *database) {
	holds := make(map[string]bool, len(target.log))
	for _, e := range target.log {
		holds[e.id] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promotions++
	w.noteLocked("%s leads term %d with %s", target.id, target.term, target.position(len(target.log)))
	for id := range w.acknowledged {
		if !holds[id] {
			w.lost = append(w.lost, id)
			w.noteLocked("LOST: %s was acknowledged to its client and is not in the log of %s", id, target.id)
		}
	}
}

// arrived is called for each statement of a client that reaches a database.
func (w *world) arrived(d *database, id, text string) {}

func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer listener.Close()
	return listener.Addr().String()
}

// startDaemon starts a daemon with settings like those of deploy/settings.toml.template.
func (w *world) startDaemon(name, zone string) {
	d := &daemon{name: name, zone: zone, callers: freePort(), ready: freePort()}
	d.settings = filepath.Join(w.directory, name+".toml")
	text := fmt.Sprintf(`name = %q
region = "western-lk"
zone = %q
protocol = "lines"
caller_address = %q
admin_address = %q
peer_address = %q
source_address = "127.0.0.1"
platform_url = %q

[limits]
max_caller_connections = 100000

[fleet]
readiness_address = %q
promotion_url = %q
grace_s = 6
drain_timeout_ms = 7000
config_apply_ms = 3000
memory_mb = 414
max_descriptors = 6300
capacity_cores = 0.6
revoke_ms = 0
quota_window_s = 0
quota_overage = 0
quota_slack = 0
`, name, zone, d.callers, freePort(), freePort(), w.storeURL, d.ready, w.provider)
	check(os.WriteFile(d.settings, []byte(text), 0o600))
	output, err := os.Create(filepath.Join(w.directory, name+".log"))
	check(err)
	d.output = output
	d.process = exec.Command(w.binary, "run", "--settings", d.settings)
	d.process.Stdout, d.process.Stderr = output, output
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(d.process.Start())
	w.daemons = append(w.daemons, d)
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			response, err := client.Get("http://" + d.ready + "/v1/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.daemons) {
			return true
		}
	}
	return false
}

// configure writes the configuration.
func (w *world) configure() {
	w.store.put("config", "main", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r1", "Host": "claims", "Prefix": "/", "Type": "primary", "TimeoutMs": 1000, "TargetLatencyMs": 200, "Priority": 1,
			"Backend": w.group.name, "Attempts": 2,
		}},
		"Backends": []any{map[string]any{"Name": w.group.name, "HealthCheck": "/health", "MaxConns": maxConns, "SyncReplicas": 1}},
		"Limits":   map[string]any{"IdleTxMs": 3000},
	})
}

// runWriter writes again and again through one daemon until the world is stopped.
func (w *world) runWriter(number int) {
	defer w.clients.Done()
	for count := 0; !w.stopped.Load(); {
		conn, err := net.DialTimeout("tcp", w.daemons[number%len(w.daemons)].callers, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		count = w.runSession(conn, number, count)
		_ = conn.Close()
	}
}

// runSession writes until the connection or the world ends, and returns the number of the last write.
func (w *world) runSession(conn net.Conn, number, count int) int {
	in := bufio.NewReader(conn)
	exchange := func(line string) (code string, ok bool) {
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := fmt.Fprintf(conn, "%s\r\n", line); err != nil {
			return "", false
		}
		for {
			answer, err := in.ReadString('\n')
			if err != nil {
				return "", false
			}
			fields := strings.Fields(answer)
			switch fields[0] {
			case "READY":
				return code, true
			case "ERROR", "COMPLETE":
				code = fields[0]
				if code == "ERROR" {
					code = fields[1]
				}
			}
		}
	}
	if _, ok := exchange("STARTUP claims"); !ok {
		return count
	}
	for !w.stopped.Load() {
		count++
		id := fmt.Sprintf("w%d-%d", number, count)
		code, ok := exchange(fmt.Sprintf("QUERY %s WRITE item%d x%d", id, number, count))
		w.mu.Lock()
		w.writes++
		if code == "COMPLETE" {
			w.acknowledged[id] = time.Now()
			w.noteLocked("write %s: answered with success", id)
		} else {
			w.failures[code]++
			w.noteLocked("write %s: answered %q", id, code)
		}
		w.mu.Unlock()
		if !ok {
			return count
		}
		if code != "COMPLETE" {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return count
}

// stop ends the clients and all processes.
func (w *world) stop() {
	w.stopped.Store(true)
	for _, d := range w.daemons {
		_ = d.process.Process.Kill()
		_ = d.process.Wait()
		_ = d.output.Close()
	}
	w.clients.Wait()
	w.mu.Lock()
	_ = w.record.Flush()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.directory)
	} else {
		fmt.Println(w.directory)
	}
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
}

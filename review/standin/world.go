package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const groupName = "rounds"

// The databases that clients ask for, by the type of their routes.
const (
	strictDatabase  = "claims"
	sessionDatabase = "logs"
	agedDatabase    = "sheets"
)

// world is a small deployment: one service with a database in each of three zones, and one daemon in each zone.
type world struct {
	record   *record
	folder   string
	network  string
	store    *store
	group    *group
	provider *provider
	daemons  []*daemon
}

// daemon is one process of the system, with its paths to the platform.
type daemon struct {
	name, ip, settings string
	storePath          *relay
	providerPath       *relay
	log                *os.File
	process            *exec.Cmd
	ended              chan struct{}
}

// options of a world.
type options struct {
	databases []string
	zones     []string
	primary   string
}

func newWorld(r *record, o options) (*world, error) {
	folder, err := os.MkdirTemp("", "papayacove-review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, folder: folder, network: freeNetwork()}
	if w.store, err = newStore(w.network + ".200:8783"); err != nil {
		return nil, err
	}
	w.group = newGroup(groupName, w.store, r)
	if w.provider, err = newProvider(w.network+".201:8783", w.group, r); err != nil {
		return nil, err
	}
	w.configure()
	for i, id := range o.databases {
		if _, err := w.group.add(id, o.zones[i], fmt.Sprintf("%s.%d:8080", w.network, 100+i), id == o.primary); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		d, err := w.newDaemon(i)
		if err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, d)
	}
	return w, nil
}

// freeNetwork returns the first three bytes of loopback addresses on which nothing listens.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		listener, err := net.Listen("tcp", network+".200:8783")
		if err == nil {
			_ = listener.Close()
			return network
		}
	}
}

func (w *world) configure() {
	route := func(name, host, kind string, age int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": "/", "Type": kind, "TimeoutMs": 1000, "TargetLatencyMs": 400, "Priority": 1,
			"Backend": groupName, "Attempts": 2, "MaxStalenessMs": age,
		}
	}
	w.store.write("config", "main", map[string]any{
		"Version":  7,
		"Routes":   []any{route("r-1", strictDatabase, "primary", 0), route("r-2", sessionDatabase, "read_your_writes", 2500), route("r-3", agedDatabase, "bounded_staleness", 1500)},
		"Backends": []any{map[string]any{"Name": groupName, "HealthCheck": "/health", "MaxConns": 34, "Protocol": "h1", "Tls": false, "SyncReplicas": 1}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "IdleTxMs": 3000},
	})
}

// settingsText is what deploy/settings.toml.template makes of the settings of a small machine.
const settingsText = `name = "%s"
region = "western-lk"
zone = "%s"
protocol = "lines"
caller_address = "%s:8784"
admin_address = "%s:7440"
peer_address = "%s:7441"
source_address = "%s"
platform_url = "http://%s"

[limits]
max_caller_connections = 100000

[fleet]
readiness_address = "%s:8785"
promotion_url = "http://%s"
grace_s = 6
drain_timeout_ms = 7000
config_apply_ms = 3000
memory_mb = 414
max_descriptors = 6300
capacity_cores = 0.608
revoke_ms = 0
quota_window_s = 0
quota_overage = 0
quota_slack = 0
`

var zoneNames = []string{"colombo", "gampaha", "kalutara"}

func (w *world) newDaemon(i int) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("edge-%s-1", zoneNames[i]), ip: fmt.Sprintf("%s.%d", w.network, 10+i)}
	var err error
	if d.storePath, err = newRelay(fmt.Sprintf("%s.%d:8783", w.network, 210+i), w.store.listener.Addr().String()); err != nil {
		return nil, err
	}
	if d.providerPath, err = newRelay(fmt.Sprintf("%s.%d:8783", w.network, 220+i), w.provider.listener.Addr().String()); err != nil {
		return nil, err
	}
	d.settings = filepath.Join(w.folder, d.name+".toml")
	text := fmt.Sprintf(settingsText, d.name, zoneNames[i], d.ip, d.ip, d.ip, d.ip, d.storePath.address(), d.ip, d.providerPath.address())
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(w.folder, d.name+".log")); err != nil {
		return nil, err
	}
	return d, d.start()
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	d.process = exec.Command("target/papayacove", "run", "--settings", d.settings)
	d.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.process.Stdout, d.process.Stderr = d.log, d.log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.ended = make(chan struct{})
	if err := d.process.Start(); err != nil {
		return err
	}
	go func(p *exec.Cmd, ended chan struct{}) { _ = p.Wait(); close(ended) }(d.process, d.ended)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.process.Process.Signal(s) }

func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + d.ip + ":8785/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the daemons did not become ready")

// awaitReady waits until all daemons are ready and have been for a while.
func (w *world) awaitReady(settle time.Duration) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			time.Sleep(settle)
			return nil
		}
	}
	return errNotReady
}

func (w *world) daemonNamed(name string) *daemon {
	for _, d := range w.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// dutyHolder decodes the holder in a record of the promotion lock.
func dutyHolder(o object) string {
	var stored map[string]any
	if json.Unmarshal(o.Spec, &stored) != nil {
		return ""
	}
	holder, _ := stored["holder"].(string)
	return holder
}

func (w *world) close(keep bool) {
	for _, d := range w.daemons {
		d.kill()
		d.storePath.close()
		d.providerPath.close()
		_ = d.log.Close()
	}
	if keep {
		fmt.Println("logs in", w.folder)
		return
	}
	_ = os.RemoveAll(w.folder)
}

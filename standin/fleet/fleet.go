package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/pelletier/go-toml/v2"
)

const (
	// readyTimeout is the time in which a fleet must become ready to serve.
	readyTimeout = 20 * time.Second
	// readyInterval is the time between two checks whether a fleet is ready.
	readyInterval = 30 * time.Millisecond
	// targetAdminOffset is added to the port of a target to get its admin port.
	targetAdminOffset = 100
)

// Options configure a fleet.
type Options struct {
	// Directory holds the example files of the deployment.
	Directory string
	// BinaryDirectory is the directory of the built programs.
	BinaryDirectory string
	// WorkDirectory is the directory of logs, settings and database files. Start deletes its content.
	WorkDirectory string
	// Network is the number of the loopback network, 2 to 254. Fleets that run at the same time need different ones.
	Network int
	// Lag is the delay with which replicas apply the log of the primary.
	Lag time.Duration
	// ConnectDelay is the time that a new connection to a target takes.
	ConnectDelay time.Duration
	// OneWayLatency is the delay of data between availability zones in each direction; it needs relays.
	OneWayLatency time.Duration
	// CallerLatency is the delay of data between callers and daemons in each direction; it needs relays.
	CallerLatency time.Duration
	// Relayed puts relays in front of the processes even without a latency, so that the network can be partitioned.
	Relayed bool
	// SpareSlots is the number of connections that targets accept beyond the slots of their specification.
	SpareSlots int
	// LogLevel is the log level of the daemons; empty keeps that of their settings files, whose default is info.
	LogLevel string
	// AdjustLoad changes the objects and VMs that the platform starts with; nil changes nothing.
	AdjustLoad func(load *PlatformLoad) error
	// Adjust changes the settings of the daemons before they are written; nil changes nothing.
	Adjust func(settings *api.Settings)
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment *Deployment
	Platform   *Process
	// Daemons and Targets are the processes by VM name.
	Daemons map[string]*Process
	Targets map[string]*Process

	options Options
	network *network
	client  *http.Client
}

// Start starts all processes of a deployment and waits until the daemons are ready.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	deployment, err := LoadDeployment(options.Directory, options.Network)
	if err != nil {
		return nil, err
	}
	// Rows and logs of an earlier fleet would not match the objects of this one.
	if err := os.RemoveAll(options.WorkDirectory); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.WorkDirectory, 0o755); err != nil {
		return nil, err
	}
	f := &Fleet{
		Deployment: deployment, options: options, client: &http.Client{Timeout: 2 * time.Second},
		Daemons: make(map[string]*Process), Targets: make(map[string]*Process),
	}
	if err := f.compose(); err != nil {
		return nil, err
	}
	if err := f.startNetwork(); err != nil {
		f.Close()
		return nil, err
	}
	for _, process := range f.Processes() {
		if err := process.Start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// compose writes the settings files and creates the processes without starting them.
func (f *Fleet) compose() error {
	if err := f.composePlatform(); err != nil {
		return err
	}
	for _, group := range f.Deployment.Groups {
		for _, spec := range group.Targets {
			f.Targets[spec.Name] = f.composeTarget(group, spec)
		}
	}
	for _, settings := range f.Deployment.Settings {
		process, err := f.composeDaemon(settings)
		if err != nil {
			return err
		}
		f.Daemons[settings.Name] = process
	}
	return nil
}

func (f *Fleet) composePlatform() error {
	if f.options.AdjustLoad != nil {
		if err := f.options.AdjustLoad(&f.Deployment.Load); err != nil {
			return err
		}
	}
	load, err := json.MarshalIndent(f.Deployment.Load, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.options.WorkDirectory, "platform.json")
	if err := os.WriteFile(path, load, 0o644); err != nil {
		return err
	}
	address := strings.TrimPrefix(f.Deployment.Settings[0].PlatformURL, "http://")
	f.Platform = NewProcess("platform", filepath.Join(f.options.BinaryDirectory, "standin-platform"), f.options.WorkDirectory,
		"--address", address, "--admin-address", f.PlatformAdmin(), "--load", path)
	return nil
}

func (f *Fleet) composeTarget(group api.GroupSpec, spec api.TargetSpec) *Process {
	term := f.Deployment.Terms[group.Name]
	arguments := []string{
		"--name", spec.Name, "--address", f.options.addressBehindRelay(spec.Address), "--admin-address", f.TargetAdmin(spec.Name),
		"--data", filepath.Join(f.options.WorkDirectory, spec.Name), "--slots", strconv.Itoa(spec.Slots + f.options.SpareSlots),
		"--connect-delay", f.options.ConnectDelay.String(), "--lag", f.options.Lag.String(),
		"--term", strconv.FormatUint(term.Term, 10),
	}
	if f.options.isRelayed() {
		arguments = append(arguments, "--source-address", f.Deployment.ZoneIP(spec.Zone))
	}
	if spec.Name == term.Primary {
		arguments = append(arguments, "--initial-role", "primary")
	} else {
		primary, _, _ := f.Deployment.Target(term.Primary)
		arguments = append(arguments, "--initial-role", "replica", "--primary", primary.Address)
	}
	return NewProcess(spec.Name, filepath.Join(f.options.BinaryDirectory, "standin-database"), f.options.WorkDirectory, arguments...)
}

func (f *Fleet) composeDaemon(settings api.Settings) (*Process, error) {
	if f.options.LogLevel != "" {
		settings.LogLevel = api.SettingsLogLevel(f.options.LogLevel)
	}
	for _, other := range f.Deployment.Settings {
		if other.Name != settings.Name {
			settings.Peers = append(settings.Peers, other.PeerAddress)
		}
	}
	settings = f.moveBehindRelays(settings)
	if f.options.Adjust != nil {
		f.options.Adjust(&settings)
	}
	content, err := toml.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", settings.Name, err)
	}
	path := filepath.Join(f.options.WorkDirectory, settings.Name+".toml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	program := filepath.Join(f.options.BinaryDirectory, "papayacove")
	return NewProcess(settings.Name, program, f.options.WorkDirectory, "run", "--settings", path), nil
}

// Processes returns all processes: the platform, then the targets, then the daemons.
func (f *Fleet) Processes() []*Process {
	all := []*Process{f.Platform}
	for _, group := range f.Deployment.Groups {
		for _, spec := range group.Targets {
			all = append(all, f.Targets[spec.Name])
		}
	}
	for _, settings := range f.Deployment.Settings {
		all = append(all, f.Daemons[settings.Name])
	}
	return all
}

// Close kills all processes that are alive, the daemons first, and closes the relays.
func (f *Fleet) Close() {
	all := f.Processes()
	for i := len(all) - 1; i >= 0; i-- {
		if all[i] != nil && all[i].IsAlive() {
			all[i].Kill()
		}
	}
	if f.network != nil {
		f.network.close()
	}
}

// PlatformAdmin returns the host:port of the admin port of the platform.
func (f *Fleet) PlatformAdmin() string {
	return f.Deployment.ip(0) + ":15401"
}

// TargetAdmin returns the host:port of the admin port of a target.
func (f *Fleet) TargetAdmin(name string) string {
	spec, _, _ := f.Deployment.Target(name)
	host, port, _ := strings.Cut(spec.Address, ":")
	number, _ := strconv.Atoi(port)
	return fmt.Sprintf("%s:%d", host, number+targetAdminOffset)
}

// Settings returns the settings of a daemon; the zero value if there is no such daemon.
func (f *Fleet) Settings(name string) api.Settings {
	for _, settings := range f.Deployment.Settings {
		if settings.Name == name {
			return settings
		}
	}
	return api.Settings{}
}

// ConnectURL returns the connection URL, without TLS, of a user of a workspace for a group at a daemon.
func (f *Fleet) ConnectURL(daemon, workspace, group, user, password string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s.%s?sslmode=disable", user, password, f.Settings(daemon).CallerAddress, workspace, group)
}

// Post sends a body as JSON to an admin port. A status other than 2xx is an error.
func (f *Fleet) Post(address, path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := f.client.Post("http://"+address+path, "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s%s: %s: %s", address, path, response.Status, text)
	}
	return nil
}

// Get decodes a JSON response of an admin port. A status other than 2xx is an error.
func (f *Fleet) Get(address, path string, into any) error {
	response, err := f.client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s%s: %s", address, path, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// Status returns the status of a daemon from its admin port.
func (f *Fleet) Status(daemon string) (api.DaemonStatus, error) {
	var status api.DaemonStatus
	err := f.Get(f.Settings(daemon).AdminAddress, "/status", &status)
	return status, err
}

// WaitReady waits until each daemon reports all members as live and each target is held by a daemon that knows its
// role. If ctx ends or readyTimeout passes first, it returns an error that says what is missing.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		reason := f.readinessProblem()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the fleet is not ready: %s; logs are in %s", reason, f.options.WorkDirectory)
		case <-time.After(readyInterval):
		}
	}
}

// readinessProblem returns the first thing that is missing; empty when the fleet is ready.
func (f *Fleet) readinessProblem() string {
	held := make(map[string]bool)
	for _, settings := range f.Deployment.Settings {
		status, err := f.Status(settings.Name)
		if err != nil {
			return err.Error()
		}
		for _, member := range status.Members {
			if !member.Live {
				return fmt.Sprintf("%s does not reach %s", settings.Name, member.Name)
			}
		}
		for _, target := range status.Targets {
			held[target.Target] = held[target.Target] || target.Role != ""
		}
	}
	for name := range f.Targets {
		if !held[name] {
			return fmt.Sprintf("target %s is not held", name)
		}
	}
	return ""
}

package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/config"
)

// loopback is the address of all VMs in the example files.
const loopback = "127.0.0.1"

// Deployment describes the VMs of one deployment, with the addresses that they have in a fleet. Methods may add zones to
// it, so it is not safe for concurrent use before all its zones are known.
type Deployment struct {
	Name string
	// Settings are the settings of the daemons, ordered by file name.
	Settings []api.Settings
	// Groups are the database groups in the order of the platform's example file.
	Groups []api.GroupSpec
	// Terms are the first terms of the groups, by group.
	Terms map[string]api.TermRecord
	// Load holds the objects and VMs that the platform starts with.
	Load PlatformLoad

	network int
	zones   map[string]int
}

// PlatformLoad is the content of the file that the stand-in platform loads when it starts.
type PlatformLoad struct {
	Objects []api.Object `json:"objects"`
	VMs     []api.VM     `json:"vms"`
}

// LoadDeployment reads the example files of a deployment and replaces their addresses: the VMs of the
// z-th availability zone get the address 127.n.z.1 in network n, and the platform gets 127.n.0.1.
func LoadDeployment(directory string, network int) (*Deployment, error) {
	d := &Deployment{
		Name: filepath.Base(directory), Terms: make(map[string]api.TermRecord), network: network, zones: make(map[string]int),
	}
	if err := d.loadPlatform(filepath.Join(directory, "platform.json")); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(directory, "entry-*.toml"))
	if err != nil {
		return nil, err
	}
	sort.Strings(files)
	for _, file := range files {
		settings, err := config.Load(file)
		if err != nil {
			return nil, err
		}
		d.Settings = append(d.Settings, d.relocateSettings(settings))
	}
	return d, nil
}

func (d *Deployment) loadPlatform(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, &d.Load); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for i := range d.Load.VMs {
		d.relocateVM(&d.Load.VMs[i])
	}
	for i := range d.Load.Objects {
		if err := d.relocateObject(&d.Load.Objects[i]); err != nil {
			return fmt.Errorf("%s: object %s: %w", path, d.Load.Objects[i].Name, err)
		}
	}
	return nil
}

func (d *Deployment) relocateObject(object *api.Object) error {
	switch object.Kind {
	case "group":
		var group api.GroupSpec
		if err := json.Unmarshal(object.Data, &group); err != nil {
			return err
		}
		for i := range group.Targets {
			group.Targets[i].Address = d.relocate(group.Targets[i].Zone, group.Targets[i].Address)
		}
		d.Groups = append(d.Groups, group)
		data, err := json.Marshal(group)
		object.Data = data
		return err
	case "term":
		var record api.TermRecord
		if err := json.Unmarshal(object.Data, &record); err != nil {
			return err
		}
		d.Terms[record.Group] = record
	}
	return nil
}

func (d *Deployment) relocateVM(vm *api.VM) {
	vm.CallerAddress = d.relocate(vm.Zone, vm.CallerAddress)
	vm.PeerAddress = d.relocate(vm.Zone, vm.PeerAddress)
	vm.AdminAddress = d.relocate(vm.Zone, vm.AdminAddress)
}

func (d *Deployment) relocateSettings(settings api.Settings) api.Settings {
	settings.CallerAddress = d.relocate(settings.Zone, settings.CallerAddress)
	settings.PeerAddress = d.relocate(settings.Zone, settings.PeerAddress)
	settings.AdminAddress = d.relocate(settings.Zone, settings.AdminAddress)
	settings.Peers = nil
	settings.PlatformURL = strings.Replace(settings.PlatformURL, loopback, d.ip(0), 1)
	return settings
}

// relocate replaces the host in an address of the example files by the address of its availability zone.
func (d *Deployment) relocate(zone, address string) string {
	return strings.Replace(address, loopback, d.ZoneIP(zone), 1)
}

// ZoneIP returns the loopback address of the VMs of an availability zone. It numbers a zone on its first use.
func (d *Deployment) ZoneIP(zone string) string {
	if _, known := d.zones[zone]; !known {
		d.zones[zone] = len(d.zones) + 1
	}
	return d.ip(d.zones[zone])
}

func (d *Deployment) ip(zone int) string {
	return fmt.Sprintf("127.%d.%d.1", d.network, zone)
}

// Target returns the specification of a target and of its group, and whether the target exists.
func (d *Deployment) Target(name string) (api.TargetSpec, api.GroupSpec, bool) {
	for _, group := range d.Groups {
		for _, spec := range group.Targets {
			if spec.Name == name {
				return spec, group, true
			}
		}
	}
	return api.TargetSpec{}, api.GroupSpec{}, false
}

package capacity

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/workspace"
)

const (
	// catalogChanges is the number of single changes over which applying one is averaged.
	catalogChanges = 50
	// listedVMs is the number of VMs in the measured VM list.
	listedVMs = 2800
)

// measureCatalog varies the number of groups of a configuration.
func measureCatalog(ctx context.Context) ([]Result, error) {
	var results []Result
	for _, groups := range []int{10, 100, 600} {
		part, err := measureConfiguration(groups)
		if err != nil {
			return nil, err
		}
		results = append(results, part...)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	list, err := measureVMList()
	return append(results, list), err
}

func measureConfiguration(groups int) ([]Result, error) {
	before := memoryInUse()
	objects, err := configuration(groups)
	if err != nil {
		return nil, err
	}
	catalog := workspace.NewCatalog()
	whole, err := processorOf(func() { catalog.Apply(objects, uint64(len(objects))) })
	if err != nil {
		return nil, err
	}
	count := len(objects)
	objects = nil
	memory := memoryInUse() - before
	if refused := catalog.Statuses(); len(refused) > 0 {
		return nil, fmt.Errorf("%d objects are refused: %s", len(refused), refused[0])
	}
	single, err := processorOfChange(catalog, groups)
	if err != nil {
		return nil, err
	}
	fetched, err := fetchSizes(catalog)
	if err != nil {
		return nil, err
	}
	suffix := fmt.Sprintf("_%d_groups_%d_workspaces", groups, workspaces)
	results := []Result{
		{"catalog_memory" + suffix, float64(memory), "B"},
		{"catalog_objects" + suffix, float64(count), "objects"},
		{"catalog_apply_all" + suffix, milliseconds(whole), "ms"},
		{"catalog_apply_change" + suffix, milliseconds(single), "ms"},
		{"peer_fetch_all" + suffix, float64(fetched[0]), "B"},
		{"peer_fetch_change" + suffix, float64(fetched[1]), "B"},
	}
	return results, nil
}

// fetchSizes returns the sizes of the answers to a peer without configuration and to one that lacks
// the last change.
func fetchSizes(catalog *workspace.Catalog) ([2]int, error) {
	var sizes [2]int
	for i, have := range []uint64{0, catalog.Revision() - 1} {
		var encoded bytes.Buffer
		reply := api.ConfigReply{Revision: catalog.Revision(), Objects: catalog.Since(have)}
		if err := gob.NewEncoder(&encoded).Encode(reply); err != nil {
			return sizes, fmt.Errorf("encode configuration: %w", err)
		}
		sizes[i] = encoded.Len()
	}
	return sizes, nil
}

// processorOfChange applies changes of single workspaces and returns the time of one.
func processorOfChange(catalog *workspace.Catalog, groups int) (time.Duration, error) {
	var failure error
	used, err := processorOf(func() {
		for i := range catalogChanges {
			spec := workspaceSpec(i, groups)
			changed, err := object(objectstore.KindWorkspace, spec.Name, catalog.Revision()+1, spec)
			if err != nil {
				failure = err
			}
			catalog.Apply([]api.Object{changed}, changed.Version)
		}
	})
	if failure != nil {
		return 0, failure
	}
	return used / catalogChanges, err
}

// measureVMList returns the size of the VM list as the platform sends it.
func measureVMList() (Result, error) {
	list := api.VMList{Revision: 1}
	for i := range listedVMs {
		list.Vms = append(list.Vms, api.VM{
			Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(i), Role: api.VMRoleEntry, State: api.VMStateLive,
			PeerAddress: "10.120.130.140:5533", AdminAddress: "10.120.130.140:5633", CallerAddress: "10.120.130.140:5433",
		})
	}
	encoded, err := json.Marshal(list)
	return Result{"vm_list_bytes_per_vm", float64(len(encoded)) / listedVMs, "B"}, err
}

// processorOf returns the processor time of the process while work runs.
func processorOf(work func()) (time.Duration, error) {
	before, err := ReadUsage()
	if err != nil {
		return 0, err
	}
	work()
	after, err := ReadUsage()
	if err != nil {
		return 0, err
	}
	return after.Processor - before.Processor, nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

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
	// catalogChanges is the number of changes over which the time to apply one is averaged.
	catalogChanges = 50
	// listedVMs is the number of VMs in the measured VM list.
	listedVMs = 2800
)

// measureCatalog measures the configuration while the number of its groups varies, and the size of the VM list.
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
	vmList, err := measureVMList()
	return append(results, vmList), err
}

// measureConfiguration measures the memory of a configuration, the time to apply it, and its size on the RPC.
func measureConfiguration(groups int) ([]Result, error) {
	before := memoryInUse()
	objects, err := configuration(groups)
	if err != nil {
		return nil, err
	}
	catalog := workspace.NewCatalog()
	allTime, err := processorTimeOf(func() { catalog.Apply(objects, uint64(len(objects))) })
	if err != nil {
		return nil, err
	}
	count := len(objects)
	objects = nil
	memory := memoryInUse() - before
	if refused := catalog.Statuses(); len(refused) > 0 {
		return nil, fmt.Errorf("%d objects are not in force; the first is %s", len(refused), refused[0])
	}
	changeTime, err := processorTimePerChange(catalog, groups)
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
		{"catalog_apply_all" + suffix, milliseconds(allTime), "ms"},
		{"catalog_apply_change" + suffix, milliseconds(changeTime), "ms"},
		{"peer_fetch_all" + suffix, float64(fetched[0]), "B"},
		{"peer_fetch_change" + suffix, float64(fetched[1]), "B"},
	}
	return results, nil
}

// fetchSizes returns the sizes in bytes of the encoded replies to a peer without configuration and to one that lacks
// the last change only.
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

// processorTimePerChange applies changes of one workspace each and returns the average processor time of a change.
func processorTimePerChange(catalog *workspace.Catalog, groups int) (time.Duration, error) {
	var failure error
	used, err := processorTimeOf(func() {
		for i := range catalogChanges {
			spec := workspaceSpec(i, groups)
			changed, err := encodeObject(objectstore.KindWorkspace, spec.Name, catalog.Revision()+1, spec)
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

// measureVMList returns the size per VM of the VM list as the platform sends it.
func measureVMList() (Result, error) {
	vmList := api.VMList{Revision: 1}
	for i := range listedVMs {
		vmList.Vms = append(vmList.Vms, api.VM{
			Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(i), Role: api.VMRoleEntry, State: api.VMStateLive,
			PeerAddress: "10.120.130.140:5533", AdminAddress: "10.120.130.140:5633", CallerAddress: "10.120.130.140:5433",
		})
	}
	encoded, err := json.Marshal(vmList)
	return Result{"vm_list_bytes_per_vm", float64(len(encoded)) / listedVMs, "B"}, err
}

// processorTimeOf returns the processor time that the process uses while work runs.
func processorTimeOf(work func()) (time.Duration, error) {
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

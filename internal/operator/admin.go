package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	adminTimeout          = 3 * time.Second
	maxAdminResponseBytes = 32 << 20
	maxParallelQueries    = 32
)

// daemonAddress is the admin address (HOST:PORT) of a daemon.
type daemonAddress struct {
	name    string
	address string
}

// daemonResponse is the decoded response of one daemon, or the error of the request to it.
type daemonResponse[T any] struct {
	daemon daemonAddress
	value  T
	err    error
}

// daemonsFromFlags returns the daemons that --daemon names or, without it, all entry VMs in the platform's VM list.
func daemonsFromFlags(ctx context.Context, cmd *cli.Command) ([]daemonAddress, error) {
	if named := cmd.StringSlice(flagDaemon); len(named) > 0 {
		return namedDaemons(named), nil
	}
	client, err := clientFromFlags(cmd)
	if err != nil {
		return nil, err
	}
	list, err := client.VMs(ctx)
	if err != nil {
		return nil, fmt.Errorf("list entry VMs (--daemon queries a daemon without the list): %w", platformError(err))
	}
	return entryDaemons(list.Vms), nil
}

func namedDaemons(addresses []string) []daemonAddress {
	daemons := make([]daemonAddress, 0, len(addresses))
	for _, address := range addresses {
		daemons = append(daemons, daemonAddress{name: address, address: address})
	}
	return daemons
}

func entryDaemons(vms []api.VM) []daemonAddress {
	var daemons []daemonAddress
	for _, vm := range vms {
		if vm.Role == api.VMRoleEntry && vm.AdminAddress != "" {
			daemons = append(daemons, daemonAddress{name: vm.Name, address: vm.AdminAddress})
		}
	}
	return daemons
}

// queryAll sends a GET request for path to the daemons, maxParallelQueries at a time, and returns the responses in the
// order of daemons. It fails with PlatformUnavailable only when no daemon responded.
func queryAll[T any](ctx context.Context, daemons []daemonAddress, path string) ([]daemonResponse[T], error) {
	responses := make([]daemonResponse[T], len(daemons))
	client := &http.Client{Timeout: adminTimeout}
	defer client.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for i, daemon := range daemons {
		group.Go(func() error {
			responses[i].daemon = daemon
			responses[i].err = queryDaemon(ctx, client, "http://"+daemon.address+path, &responses[i].value)
			return nil
		})
	}
	_ = group.Wait()
	for _, r := range responses {
		if r.err == nil {
			return responses, nil
		}
	}
	return responses, result.Errorf(result.PlatformUnavailable, "none of %d daemons responded%s", len(daemons), firstFailure(responses))
}

// firstFailure returns the error of the first response, for the case that all of them failed.
func firstFailure[T any](responses []daemonResponse[T]) string {
	if len(responses) == 0 {
		return ""
	}
	return fmt.Sprintf("; %s: %s", responses[0].daemon.name, responses[0].err)
}

// queryDaemon sends a GET request to a daemon and decodes the JSON response into value.
func queryDaemon(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("query daemon: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("query daemon: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("query daemon: HTTP status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAdminResponseBytes)).Decode(value); err != nil {
		return fmt.Errorf("decode response of daemon: %w", err)
	}
	return nil
}

// newestConfigRevision returns the highest version of the templates, workspaces and groups on the platform.
func newestConfigRevision(ctx context.Context, client *objectstore.Client) (uint64, error) {
	var newest uint64
	for _, kind := range []string{objectstore.KindTemplate, objectstore.KindWorkspace, objectstore.KindGroup} {
		list, err := client.List(ctx, kind)
		if err != nil {
			return 0, platformError(err)
		}
		for _, object := range list.Objects {
			newest = max(newest, object.Version)
		}
	}
	return newest, nil
}

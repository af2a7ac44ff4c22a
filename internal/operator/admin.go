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
	adminTimeout      = 3 * time.Second
	maxAdminBytes     = 32 << 20
	maxParallelAdmins = 32
)

// daemonAddress is where the admin port of a daemon is.
type daemonAddress struct {
	name    string
	address string
}

// answer is what one daemon answered, or why it did not.
type answer[T any] struct {
	daemon daemonAddress
	value  T
	err    error
}

// daemonsOf returns the daemons that the flags name, or all entry VMs in the platform's list.
func daemonsOf(ctx context.Context, cmd *cli.Command) ([]daemonAddress, error) {
	if named := cmd.StringSlice(flagDaemon); len(named) > 0 {
		return namedDaemons(named), nil
	}
	client, err := clientOf(cmd)
	if err != nil {
		return nil, err
	}
	list, err := client.VMs(ctx)
	if err != nil {
		return nil, fmt.Errorf("name a daemon with --daemon to ask it alone: %w", platformError(err))
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

// askAll sends the same question to all daemons at once and returns the answers in their order.
// It fails with PlatformUnavailable only when no daemon answered.
func askAll[T any](ctx context.Context, daemons []daemonAddress, path string) ([]answer[T], error) {
	answers := make([]answer[T], len(daemons))
	client := &http.Client{Timeout: adminTimeout}
	defer client.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(maxParallelAdmins)
	for i, daemon := range daemons {
		group.Go(func() error {
			answers[i].daemon = daemon
			answers[i].err = ask(ctx, client, "http://"+daemon.address+path, &answers[i].value)
			return nil
		})
	}
	_ = group.Wait()
	for _, a := range answers {
		if a.err == nil {
			return answers, nil
		}
	}
	return answers, result.Errorf(result.PlatformUnavailable, "none of %d daemons answered%s", len(daemons), firstFailure(answers))
}

func firstFailure[T any](answers []answer[T]) string {
	if len(answers) == 0 {
		return ""
	}
	return fmt.Sprintf("; %s: %s", answers[0].daemon.name, answers[0].err)
}

func ask(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("ask daemon: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("ask daemon: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask daemon: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAdminBytes)).Decode(value); err != nil {
		return fmt.Errorf("decode answer of daemon: %w", err)
	}
	return nil
}

// platformConfig returns the revision of the newest template, workspace or group on the platform.
func platformConfig(ctx context.Context, client *objectstore.Client) (uint64, error) {
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

// Command standin-lab runs deployments of papayacove with stand-ins on loopback addresses: for use by hand, as a
// demonstration, in soak runs with random failures, and to measure latencies and resources.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Clients in this process log state changes at level info, which would mix with the output of the command.
	logrus.SetLevel(logrus.WarnLevel)
	command := &cli.Command{
		Name:  "standin-lab",
		Usage: "run deployments of papayacove with stand-ins on loopback addresses",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "examples", Usage: "`FOLDER` of the example deployments", Value: "examples"},
			&cli.StringFlag{Name: "binaries", Usage: "`FOLDER` of the built programs", Value: ".bin"},
			&cli.StringFlag{Name: "work", Usage: "`FOLDER` for logs and database files; a temporary one when empty"},
			&cli.IntFlag{Name: "network", Usage: "number of the loopback network, 2 to 250", Value: 10},
			&cli.StringFlag{Name: "log-level", Usage: "log level of the daemons", Value: "info"},
		},
		Commands: []*cli.Command{upCommand(), demoCommand(), soakCommand(), benchCommand(), capacityCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-lab:", err)
		os.Exit(1)
	}
}

// fleetOptions returns the options of a fleet that runs a deployment, from the common flags. cleanUp removes the
// folder of the fleet if it is a temporary one.
func fleetOptions(command *cli.Command, deployment string, network int) (options fleet.Options, cleanUp func(), err error) {
	work := command.String("work")
	cleanUp = func() {}
	if work == "" {
		work, err = os.MkdirTemp("", "papayacove-"+deployment+"-")
		if err != nil {
			return fleet.Options{}, nil, err
		}
		cleanUp = func() { _ = os.RemoveAll(work) }
	} else {
		work = filepath.Join(work, deployment)
	}
	return fleet.Options{
		Directory: filepath.Join(command.String("examples"), deployment), BinaryDirectory: command.String("binaries"),
		WorkDirectory: work, Network: network, LogLevel: command.String("log-level"), ConnectDelay: connectDelay, Lag: replicaLag,
	}, cleanUp, nil
}

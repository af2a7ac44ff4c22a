package main

import (
	"context"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/papayacove/papayacove/standin/workload"
	"github.com/urfave/cli/v3"
)

const (
	// connectDelay is the time that setting up a connection to a target takes.
	connectDelay = 10 * time.Millisecond
	// replicaLag is the delay between a commit and its application on a replica.
	replicaLag = 20 * time.Millisecond
)

func upCommand() *cli.Command {
	return &cli.Command{
		Name: "up", Usage: "run one deployment until Ctrl-C; kelani when none is named", ArgsUsage: "DEPLOYMENT",
		Action: up,
	}
}

func up(ctx context.Context, command *cli.Command) error {
	deployment := command.Args().First()
	if deployment == "" {
		deployment = "kelani"
	}
	options, cleanUp, err := fleetOptions(command, deployment, command.Int("network"))
	if err != nil {
		return err
	}
	defer cleanUp()
	running, err := fleet.Start(ctx, options)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Printf("%s is up; logs are in %s\n\n", deployment, options.WorkDirectory)
	printConnectCommands(running)
	fmt.Println("\nCtrl-C ends all processes.")
	<-ctx.Done()
	fmt.Println("\nstopping")
	return nil
}

// printConnectCommands prints a psql command for each daemon and account, the names of the other groups, and a command
// for operators.
func printConnectCommands(f *fleet.Fleet) {
	strict, aged, _ := workload.Accounts(f.Deployment.Name)
	group := f.Deployment.Groups[0].Name
	for _, settings := range f.Deployment.Settings {
		for _, account := range []workload.Account{strict, aged} {
			url := f.ConnectURL(settings.Name, account.Workspace, group, account.User, account.Password)
			fmt.Printf("%s (%s) as %-6s  psql '%s'\n", settings.Name, settings.Zone, account.User, url)
		}
	}
	fmt.Printf("\nOther groups: replace %s in the database name with", group)
	for _, other := range f.Deployment.Groups[1:] {
		fmt.Printf(" %s", other.Name)
	}
	fmt.Printf("\nOperators: papayacovectl --platform %s status\n", f.Deployment.Settings[0].PlatformURL)
}

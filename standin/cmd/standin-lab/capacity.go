package main

import (
	"context"
	"os"

	"github.com/papayacove/papayacove/standin/capacity"
	"github.com/papayacove/papayacove/standin/fleet"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "measure the resources that a daemon uses, by the number of peers, groups and connections",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "part", Usage: "`NAME` of the only part to measure; all when empty"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			logrus.SetLevel(logrus.ErrorLevel)
			start := func(deployment string) (fleet.Options, func(), error) {
				return fleetOptions(command, deployment, command.Int("network"))
			}
			return capacity.Run(ctx, command.String("part"), start, os.Stdout)
		},
	}
}

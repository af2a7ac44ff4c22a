package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/papayacove/papayacove/standin/bench"
	"github.com/urfave/cli/v3"
)

// errOutOfBounds is returned by a run with figures outside their bounds.
var errOutOfBounds = errors.New("figures are out of bounds")

func benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure figures and compare them with their bounds; each line is: name value unit bound",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "`PART`s to measure: " + strings.Join(bench.Names(), ", ")},
		},
		Action: runBench,
	}
}

func runBench(ctx context.Context, command *cli.Command) error {
	work := command.String("work")
	if work == "" {
		var err error
		work, err = os.MkdirTemp("", "papayacove-bench-")
		if err != nil {
			return err
		}
	}
	options := bench.Options{
		ExampleDirectory: command.String("examples"), BinaryDirectory: command.String("binaries"), WorkDirectory: work, Network: command.Int("network"),
	}
	report := bench.NewReport(os.Stdout)
	if err := bench.Run(ctx, options, report, command.StringSlice("only")); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, work)
	}
	if broken := report.Broken(); len(broken) > 0 {
		fmt.Printf("%d figures are out of bounds; logs are in %s\n", len(broken), work)
		return errOutOfBounds
	}
	return os.RemoveAll(work)
}

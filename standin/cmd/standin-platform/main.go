// Command standin-platform runs a stand-in for the platform: its object API, its VM list and an admin API for faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/standin/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		logrus.WithError(err).Error("standin_failed")
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin-platform",
		Usage: "run a stand-in for the platform's object API and VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "host:port of the object API"},
			&cli.StringFlag{Name: "admin-address", Value: "127.0.0.1:0", Usage: "host:port of the HTTP admin API"},
			&cli.StringFlag{Name: "load", Usage: "JSON `FILE` with the initial objects and vms; when empty, the stand-in starts without any"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random faults"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	server := platform.New(platform.Options{
		Address:      c.String("address"),
		AdminAddress: c.String("admin-address"),
		Seed:         c.Uint64("seed"),
	})
	if err := loadContent(server, c.String("load")); err != nil {
		return err
	}
	if err := server.Start(); err != nil {
		return err
	}
	defer server.Close()
	fmt.Printf("ready address=%s admin_address=%s\n", server.Address(), server.AdminAddress())
	<-ctx.Done()
	return nil
}

// loadContent stores the objects and the VM list of the JSON file at path in server. It does nothing if path is empty.
func loadContent(server *platform.Server, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open initial content: %w", err)
	}
	defer file.Close()
	return server.Load(file)
}

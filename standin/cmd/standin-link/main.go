// Command standin-link relays TCP connections over links with faults.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/standin/netfault"
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
		Name:  "standin-link",
		Usage: "relay TCP connections over links with faults",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:     "link",
				Usage:    "name=address=target, host:port each; may be repeated",
				Required: true,
			},
			&cli.StringFlag{Name: "admin-address", Value: "127.0.0.1:0", Usage: "host:port of the admin API"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	links := make(map[string]*netfault.Link)
	for _, text := range c.StringSlice("link") {
		name, link, err := startLink(text)
		if err != nil {
			return err
		}
		defer link.Close()
		links[name] = link
		fmt.Printf("link name=%s address=%s target=%s\n", name, link.Address(), link.Target())
	}
	listener, err := net.Listen("tcp", c.String("admin-address"))
	if err != nil {
		return fmt.Errorf("listen for the admin API: %w", err)
	}
	fmt.Printf("ready admin_address=%s\n", listener.Addr())
	return serveAdmin(ctx, listener, netfault.AdminHandler(links))
}

// startLink starts the link that a flag describes.
func startLink(text string) (string, *netfault.Link, error) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 {
		return "", nil, fmt.Errorf("link %q is not name=address=target", text)
	}
	link := netfault.New(netfault.Options{Address: parts[1], Target: parts[2]})
	if err := link.Start(); err != nil {
		return "", nil, err
	}
	return parts[0], link, nil
}

// serveAdmin serves the admin API until ctx ends.
func serveAdmin(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the admin API: %w", err)
	}
	return nil
}

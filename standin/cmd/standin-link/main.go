// Command standin-link relays TCP connections over links whose faults are set through an HTTP admin API.
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
		Usage: "relay TCP connections over links with injected faults",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:     "link",
				Usage:    "`NAME=ADDRESS=TARGET` of a link that listens on ADDRESS and connects to TARGET, both host:port; may be repeated",
				Required: true,
			},
			&cli.StringFlag{Name: "admin-address", Value: "127.0.0.1:0", Usage: "host:port of the HTTP admin API"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	links := make(map[string]*netfault.Link)
	for _, definition := range c.StringSlice("link") {
		name, link, err := startLink(definition)
		if err != nil {
			return err
		}
		defer link.Close()
		links[name] = link
		fmt.Printf("link name=%s address=%s target=%s\n", name, link.Address(), link.Target())
	}
	listener, err := net.Listen("tcp", c.String("admin-address"))
	if err != nil {
		return fmt.Errorf("listen for admin API: %w", err)
	}
	fmt.Printf("ready admin_address=%s\n", listener.Addr())
	return serveAdmin(ctx, listener, netfault.AdminHandler(links))
}

// startLink starts the link that one value of the flag link, in the form name=address=target, describes, and returns
// its name with it.
func startLink(definition string) (string, *netfault.Link, error) {
	parts := strings.Split(definition, "=")
	if len(parts) != 3 {
		return "", nil, fmt.Errorf("invalid link %q: want name=address=target", definition)
	}
	link := netfault.New(netfault.Options{Address: parts[1], Target: parts[2]})
	if err := link.Start(); err != nil {
		return "", nil, err
	}
	return parts[0], link, nil
}

// serveAdmin serves the admin API on listener until ctx is cancelled.
func serveAdmin(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve admin API: %w", err)
	}
	return nil
}

// Command standin-database runs one stand-in target.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/internal/target"
	"github.com/papayacove/papayacove/standin/database"
)

const (
	defaultSlots        = 5
	defaultConnectDelay = 10 * time.Millisecond
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		logrus.WithError(err).Error("standin_database")
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:   "standin-database",
		Usage:  "run a stand-in for one target",
		Flags:  flags(),
		Action: run,
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Required: true, Usage: "name of the target"},
		&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "host:port for PostgreSQL clients"},
		&cli.StringFlag{Name: "admin-address", Usage: "host:port for knobs and dumps; empty for none"},
		&cli.StringFlag{Name: "data", Required: true, Usage: "directory of rows, log and state"},
		&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "connections that are accepted; 0 for no limit"},
		&cli.DurationFlag{Name: "connect-delay", Value: defaultConnectDelay, Usage: "time that a connection takes to set up"},
		&cli.StringFlag{Name: "initial-role", Value: string(target.RolePrimary), Usage: "primary or replica, when the data directory is empty"},
		&cli.StringFlag{Name: "primary", Usage: "address that a replica streams from, when the data directory is empty"},
		&cli.Uint64Flag{Name: "term", Value: 1, Usage: "term, when the data directory is empty"},
		&cli.DurationFlag{Name: "lag", Usage: "delay between commit and applying on a replica"},
		&cli.DurationFlag{Name: "receive-lag", Usage: "delay between commit and receiving on a replica"},
		&cli.StringFlag{Name: "source-address", Usage: "IP number that the replication stream comes from; empty for any"},
		&cli.StringFlag{Name: "user", Value: "papayacove", Usage: "user name"},
		&cli.StringFlag{Name: "password", Usage: "password for SCRAM-SHA-256; empty trusts everybody"},
		&cli.StringFlag{Name: "tls-certificate", Usage: "certificate file in PEM form; empty offers no TLS"},
		&cli.StringFlag{Name: "tls-key", Usage: "key file of the certificate"},
		&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "lowest level that is logged"},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	level, err := logrus.ParseLevel(c.String("log-level"))
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	logrus.SetLevel(level)
	options, err := optionsOf(c)
	if err != nil {
		return err
	}
	t, err := database.New(options)
	if err != nil {
		return err
	}
	if err := t.Start(); err != nil {
		return err
	}
	fmt.Printf("ready name=%s address=%s admin_address=%s\n", options.Name, t.Address(), t.AdminAddress())
	<-ctx.Done()
	return t.Close()
}

func optionsOf(c *cli.Command) (database.Options, error) {
	role := target.Role(c.String("initial-role"))
	if role != target.RolePrimary && role != target.RoleReplica {
		return database.Options{}, fmt.Errorf("unknown role %q", role)
	}
	tlsConfig, err := loadTLS(c.String("tls-certificate"), c.String("tls-key"))
	if err != nil {
		return database.Options{}, err
	}
	return database.Options{
		Name:          c.String("name"),
		Address:       c.String("address"),
		AdminAddress:  c.String("admin-address"),
		DataDirectory: c.String("data"),
		Slots:         c.Int("slots"),
		ConnectDelay:  c.Duration("connect-delay"),
		InitialRole:   role,
		Primary:       c.String("primary"),
		Term:          c.Uint64("term"),
		SourceAddress: c.String("source-address"),
		User:          c.String("user"),
		Password:      c.String("password"),
		TLS:           tlsConfig,
		Knobs: database.Knobs{
			LagMs:        c.Duration("lag").Milliseconds(),
			ReceiveLagMs: c.Duration("receive-lag").Milliseconds(),
		},
	}, nil
}

// loadTLS returns nil when no certificate is given.
func loadTLS(certificate, key string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

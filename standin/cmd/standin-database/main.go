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
	if err := newCommand().Run(ctx, os.Args); err != nil {
		logrus.WithError(err).Error("standin_database")
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
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
		&cli.StringFlag{Name: "admin-address", Usage: "host:port of the HTTP admin API for faults and dumps; empty disables it"},
		&cli.StringFlag{Name: "data", Required: true, Usage: "directory that stores rows, log and state"},
		&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "number of connections that are accepted, without control connections; 0 for no limit"},
		&cli.DurationFlag{Name: "connect-delay", Value: defaultConnectDelay, Usage: "time that setting up a connection takes"},
		&cli.StringFlag{Name: "initial-role", Value: string(target.RolePrimary), Usage: "role when the data directory is empty: primary or replica"},
		&cli.StringFlag{Name: "primary", Usage: "host:port that a replica replicates from when the data directory is empty"},
		&cli.Uint64Flag{Name: "term", Value: 1, Usage: "term when the data directory is empty"},
		&cli.DurationFlag{Name: "lag", Usage: "delay between a commit and its application on a replica"},
		&cli.DurationFlag{Name: "receive-lag", Usage: "delay between a commit and its receipt by a replica"},
		&cli.StringFlag{Name: "source-address", Usage: "source IP address of the replication connection; when empty, the operating system chooses one"},
		&cli.StringFlag{Name: "user", Value: "papayacove", Usage: "user name"},
		&cli.StringFlag{Name: "password", Usage: "password for SCRAM-SHA-256; empty disables authentication"},
		&cli.StringFlag{Name: "tls-certificate", Usage: "certificate file in PEM format; empty disables TLS"},
		&cli.StringFlag{Name: "tls-key", Usage: "private key file of the certificate in PEM format"},
		&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "lowest level that is logged"},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	level, err := logrus.ParseLevel(c.String("log-level"))
	if err != nil {
		return fmt.Errorf("parse log level: %w", err)
	}
	logrus.SetLevel(level)
	options, err := databaseOptions(c)
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

func databaseOptions(c *cli.Command) (database.Options, error) {
	role := target.Role(c.String("initial-role"))
	if role != target.RolePrimary && role != target.RoleReplica {
		return database.Options{}, fmt.Errorf("unknown initial role %q", role)
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
		Faults: database.Faults{
			LagMs:        c.Duration("lag").Milliseconds(),
			ReceiveLagMs: c.Duration("receive-lag").Milliseconds(),
		},
	}, nil
}

// loadTLS returns the TLS configuration for a certificate and its key, or nil if certificate is empty.
func loadTLS(certificate, key string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load TLS certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// Command papayacove runs the daemon of an entry VM and checks its settings file.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/certificate"
	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/daemon"
	"github.com/papayacove/papayacove/internal/lineproxy"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/telemetry"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// logFlushTimeout bounds the time for writing the pending log lines before the process exits.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	command := &cli.Command{
		Name:    "papayacove",
		Usage:   "database proxy with session consistency",
		Version: daemon.Version,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve callers until SIGTERM or SIGINT", Flags: []cli.Flag{settingsFlag()}, Action: run},
			{Name: "check-config", Usage: "check a settings file", Flags: []cli.Flag{settingsFlag()}, Action: checkConfig},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "papayacove:", err)
		os.Exit(1)
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "path of the TOML `FILE`", Required: true}
}

func run(ctx context.Context, command *cli.Command) error {
	// The signals are handled until the log is written: no further one ends the process during a stop.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// Without a reader of the log, writing a line fails, and the daemon serves on.
	signal.Ignore(syscall.SIGPIPE)
	settings, err := config.Load(command.String("settings"))
	if err != nil {
		return err
	}
	output := telemetry.NewOutput(os.Stdout)
	flushTimeout := func() time.Duration { return logFlushTimeout }
	defer func() { output.Flush(flushTimeout()) }()
	logrus.SetOutput(output)
	recorder, err := telemetry.SetUp(settings.LogLevel, settings.Name)
	if err != nil {
		return err
	}
	if settings.Protocol == api.SettingsProtocolLines {
		proxy := lineproxy.New(settings)
		flushTimeout = proxy.LogTime
		go config.Watch(ctx, command.String("settings"), reload, proxy.Apply)
		return proxy.Run(ctx)
	}
	composed, err := daemon.New(settings, recorder)
	if err != nil {
		return err
	}
	go config.Watch(ctx, command.String("settings"), reload, func(api.Settings) {
		logrus.Info(logevent.SettingsWaitForRestart)
	})
	return composed.Run(ctx)
}

func checkConfig(_ context.Context, command *cli.Command) error {
	path := command.String("settings")
	settings, err := config.Load(path)
	if err != nil {
		return err
	}
	if _, err := certificate.Load(settings.TLS); err != nil {
		return err
	}
	fmt.Printf("%s is valid\n", path)
	return nil
}

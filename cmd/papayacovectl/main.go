// Command papayacovectl declares templates and workspaces, and shows the state and the decisions of the daemons.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logrus.SetLevel(logrus.WarnLevel)
	err := operator.NewCommand(os.Stdin, os.Stdout).Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "papayacovectl:", err)
	}
	os.Exit(operator.ExitCode(err))
}

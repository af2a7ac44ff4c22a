package operator

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/certificate"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/result"
)

const defaultTimeout = 10 * time.Second

// Names of the flags that all commands share.
const (
	flagPlatform  = "platform"
	flagAuthority = "platform-authority"
	flagZone      = "zone"
	flagOutput    = "output"
	flagDaemon    = "daemon"
	flagAuthor    = "author"
	flagTimeout   = "timeout"
	flagDryRun    = "dry-run"
)

// NewCommand returns the papayacovectl command, which reads from in and prints to out.
func NewCommand(in io.Reader, out io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "papayacovectl",
		Usage:                 "declare templates and workspaces, and show the state of the daemons",
		Reader:                in,
		Writer:                out,
		EnableShellCompletion: true,
		Flags:                 sharedFlags(),
		Before:                checkOutput,
		// The caller of Run converts errors into exit codes, see ExitCode.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			applyCommand(""),
			kindCommand(objectstore.KindTemplate),
			kindCommand(objectstore.KindWorkspace, setCommand()),
			changeCommand(),
			validateCommand(),
			statusCommand(),
			explainCommand(),
			keysCommand(),
		},
	}
}

func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "base `URL` of the platform", Sources: cli.EnvVars("PAPAYACOVE_PLATFORM")},
		&cli.StringFlag{Name: flagAuthority, Usage: "PEM `FILE` of the certificate authority that signs the platform's certificate"},
		&cli.StringFlag{Name: flagZone, Value: "operator", Usage: "availability `ZONE` that calls to the platform come from"},
		&cli.StringFlag{Name: flagOutput, Value: outputTable, Usage: "table or json"},
		&cli.StringSliceFlag{Name: flagDaemon, Usage: "admin `ADDRESS` of a daemon to query instead of all in the platform's VM list"},
		&cli.StringFlag{Name: flagAuthor, Value: accountName(), Usage: "`NAME` that the history of changes records as the author"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of one change or one call to the platform"},
		&cli.BoolFlag{Name: flagDryRun, Usage: "show what would change without changing it"},
	}
}

// accountName returns the user name of the account that runs the command, or "" if the system does not report it.
func accountName() string {
	account, err := user.Current()
	if err != nil {
		return ""
	}
	return account.Username
}

// checkOutput fails with ObjectInvalid unless --output is one of the known formats.
func checkOutput(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	text := cmd.String(flagOutput)
	if text != outputTable && text != outputJSON {
		return ctx, result.Errorf(result.ObjectInvalid, "--output %s: want table or json", text)
	}
	return ctx, nil
}

func outputFromFlags(cmd *cli.Command) output {
	return output{writer: cmd.Root().Writer, json: cmd.String(flagOutput) == outputJSON}
}

// clientFromFlags returns a client for the platform that the flags name.
func clientFromFlags(cmd *cli.Command) (*objectstore.Client, error) {
	address := cmd.String(flagPlatform)
	if address == "" {
		return nil, result.Errorf(result.ObjectInvalid, "--platform is missing")
	}
	config, err := tlsConfig(cmd.String(flagAuthority))
	if err != nil {
		return nil, err
	}
	return objectstore.NewClient(objectstore.Options{
		URL:     address,
		Zone:    cmd.String(flagZone),
		Timeout: min(objectstore.DefaultTimeout, cmd.Duration(flagTimeout)),
		TLS:     config,
	}), nil
}

// tlsConfig returns a TLS configuration that trusts the certificate authority in a PEM file, or the authorities of the
// system if path is empty.
func tlsConfig(path string) (func() *tls.Config, error) {
	store, err := certificate.Load(api.TLSSettings{PlatformAuthority: path})
	if err != nil {
		return nil, fmt.Errorf("load certificate authority: %w", err)
	}
	return store.Platform(), nil
}

// editorFromFlags returns an editor for the platform that the flags name.
func editorFromFlags(cmd *cli.Command) (*Editor, error) {
	client, err := clientFromFlags(cmd)
	if err != nil {
		return nil, err
	}
	return &Editor{
		Client:  client,
		Author:  cmd.String(flagAuthor),
		Timeout: cmd.Duration(flagTimeout),
		DryRun:  cmd.Bool(flagDryRun),
		Now:     time.Now,
	}, nil
}

// oneArgument returns the only argument of a command. For any other number of arguments, the error carries
// ObjectInvalid and shows name as the argument that is wanted.
func oneArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", result.Errorf(result.ObjectInvalid, "%s: want one argument, %s", cmd.FullName(), name)
	}
	return cmd.Args().First(), nil
}

// someArguments returns the arguments of a command. If there are none, the error carries ObjectInvalid and shows
// name as the argument that is wanted.
func someArguments(cmd *cli.Command, name string) ([]string, error) {
	if cmd.Args().Len() == 0 {
		return nil, result.Errorf(result.ObjectInvalid, "%s: want at least one argument, %s", cmd.FullName(), name)
	}
	return cmd.Args().Slice(), nil
}

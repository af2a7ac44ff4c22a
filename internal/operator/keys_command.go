package operator

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/internal/config"
	"github.com/papayacove/papayacove/internal/credential"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	defaultLifetime = 30 * 24 * time.Hour
	flagDirectory   = "directory"
	flagLifetime    = "lifetime"
	flagIterations  = "iterations"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "make certificates for tests and verifiers of passwords",
		Commands: []*cli.Command{
			certificatesCommand(),
			verifierCommand(),
		},
	}
}

func certificatesCommand() *cli.Command {
	return &cli.Command{
		Name:      "certificates",
		Usage:     "make a certificate authority, a certificate presented to callers and one for each daemon",
		ArgsUsage: "DAEMON=IP...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDirectory, Required: true, Usage: "`DIRECTORY` to write to; no file is replaced"},
			&cli.DurationFlag{Name: flagLifetime, Value: defaultLifetime, Usage: "time until the certificates expire"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			arguments, err := someArguments(cmd, "DAEMON=IP")
			if err != nil {
				return err
			}
			daemons, err := parseDaemonIPs(arguments)
			if err != nil {
				return err
			}
			issuer := &certificateIssuer{
				directory: cmd.String(flagDirectory),
				lifetime:  cmd.Duration(flagLifetime),
				now:       time.Now(),
			}
			return issuer.issueAll(daemons)
		},
	}
}

func parseDaemonIPs(arguments []string) ([]daemonIP, error) {
	var daemons []daemonIP
	for _, argument := range arguments {
		name, address, _ := strings.Cut(argument, "=")
		if !config.IsName(name) {
			return nil, result.Errorf(result.ObjectInvalid, "%s: want DAEMON=IP", argument)
		}
		d, err := parseDaemonIP(name, address)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	return daemons, nil
}

func verifierCommand() *cli.Command {
	return &cli.Command{
		Name:  "verifier",
		Usage: "make a SCRAM-SHA-256 verifier of the password on the first line of standard input",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagIterations, Value: credential.DefaultIterations, Usage: "iterations of the key derivation"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			password, err := readPassword(cmd.Root().Reader)
			if err != nil {
				return err
			}
			salt := make([]byte, credential.SaltBytes)
			// Read of crypto/rand never returns an error.
			_, _ = rand.Read(salt)
			verifier, err := credential.Make(password, cmd.Int(flagIterations), salt)
			if err != nil {
				return fmt.Errorf("make verifier: %w", err)
			}
			return outputFromFlags(cmd).print(verifier, verifier+"\n")
		},
	}
}

// readPassword reads the first line of in. An empty line fails with ObjectInvalid.
func readPassword(in io.Reader) (string, error) {
	text, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("read password: %w", err)
	}
	password := strings.TrimRight(text, "\r\n")
	if password == "" {
		return "", result.Errorf(result.ObjectInvalid, "standard input: want a password")
	}
	return password, nil
}

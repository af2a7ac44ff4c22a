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
		Usage:     "make an authority, a certificate shown to callers and one for each daemon",
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
			hosts, err := parseHosts(arguments)
			if err != nil {
				return err
			}
			maker := &keyMaker{
				directory: cmd.String(flagDirectory),
				lifetime:  cmd.Duration(flagLifetime),
				now:       time.Now(),
			}
			return maker.makeAll(hosts)
		},
	}
}

func parseHosts(arguments []string) ([]host, error) {
	var hosts []host
	for _, argument := range arguments {
		name, address, _ := strings.Cut(argument, "=")
		if !config.IsName(name) {
			return nil, result.Errorf(result.ObjectInvalid, "%s: want DAEMON=IP", argument)
		}
		h, err := parseHost(name, address)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
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
			// Read of crypto/rand does not fail.
			_, _ = rand.Read(salt)
			verifier, err := credential.Make(password, cmd.Int(flagIterations), salt)
			if err != nil {
				return fmt.Errorf("make verifier: %w", err)
			}
			return outputOf(cmd).value(verifier, verifier+"\n")
		},
	}
}

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

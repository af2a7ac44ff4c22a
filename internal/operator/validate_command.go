package operator

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// validated tells how many objects and settings are valid.
type validated struct {
	Valid int `json:"valid"`
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check templates, workspaces, daemon settings (TOML) and platform objects (JSON) without the platform",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			paths, err := someArguments(cmd, "FILE")
			if err != nil {
				return err
			}
			checked, err := Validate(paths)
			if err != nil {
				return err
			}
			return outputOf(cmd).value(
				validated{Valid: checked},
				fmt.Sprintf("valid: %d objects and settings\n", checked))
		},
	}
}

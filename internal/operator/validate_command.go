package operator

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// validateResult is the JSON output of validate: the number of valid objects and settings.
type validateResult struct {
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
			return outputFromFlags(cmd).print(
				validateResult{Valid: checked},
				fmt.Sprintf("valid: %d objects and settings\n", checked))
		},
	}
}

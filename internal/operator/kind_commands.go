package operator

import (
	"context"
	"errors"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/papayacove/papayacove/internal/result"
)

const flagShowVerifiers = "show-verifiers"

// kindCommand returns the command for templates or for workspaces, with the common and the extra subcommands.
func kindCommand(kind string, extra ...*cli.Command) *cli.Command {
	commands := []*cli.Command{
		applyCommand(kind),
		getCommand(kind),
		listCommand(kind),
		diffCommand(kind),
		deleteCommand(kind),
		historyCommand(kind),
	}
	return &cli.Command{
		Name:     kind,
		Usage:    "declare and show a " + kind,
		Commands: append(commands, extra...),
	}
}

func applyCommand(kind string) *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "store the documents of TOML files; a conflicting edit changes nothing",
		ArgsUsage: "FILE...",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			files, err := readFiles(cmd, kind)
			if err != nil {
				return err
			}
			editor, err := editorFromFlags(cmd)
			if err != nil {
				return err
			}
			reports, err := editor.ApplyFiles(ctx, files)
			return errors.Join(printReports(cmd, reports), err)
		},
	}
}

// readFiles reads the files that the arguments name. It fails with ObjectInvalid for a file of another kind,
// unless kind is empty.
func readFiles(cmd *cli.Command, kind string) ([]File, error) {
	paths, err := someArguments(cmd, "FILE")
	if err != nil {
		return nil, err
	}
	var files []File
	for _, path := range paths {
		file, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		if kind != "" && file.Document.Kind() != kind {
			return nil, result.Errorf(result.ObjectInvalid, "%s: kind = %q: want %s", path, file.Document.Kind(), kind)
		}
		files = append(files, file)
	}
	return files, nil
}

func printReports(cmd *cli.Command, reports []Report) error {
	if len(reports) == 0 {
		return nil
	}
	return outputFromFlags(cmd).print(reports, reportText(reports))
}

// withStored returns an action that loads the document named by its only argument and passes it to run, also when the
// document is marked as removed.
func withStored(kind string, run func(*cli.Command, Stored) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		name, err := oneArgument(cmd, "NAME")
		if err != nil {
			return err
		}
		client, err := clientFromFlags(cmd)
		if err != nil {
			return err
		}
		stored, err := load(ctx, client, kind, name)
		if err != nil {
			return err
		}
		if stored.Version == 0 {
			return result.Errorf(result.ObjectNotFound, "no %s %q", kind, name)
		}
		return run(cmd, stored)
	}
}

func getCommand(kind string) *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print a document with its version in the form that apply accepts",
		ArgsUsage: "NAME",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: flagShowVerifiers, Usage: "print the verifiers of users"}},
		Action: withStored(kind, func(cmd *cli.Command, stored Stored) error {
			if !stored.Exists() {
				return result.Errorf(result.ObjectNotFound, "%s %q was removed", kind, stored.Document.ObjectName())
			}
			text, err := FormatFile(stored.Document, stored.Version, cmd.Bool(flagShowVerifiers))
			if err != nil {
				return err
			}
			return outputFromFlags(cmd).print(stored.Document.file(stored.Version, cmd.Bool(flagShowVerifiers)), text)
		}),
	}
}

// summary is the row of a document in the output of list.
type summary struct {
	Name      string `json:"name"`
	Version   uint64 `json:"version"`
	Detail    string `json:"detail"`
	ChangedBy string `json:"changed_by"`
}

func listCommand(kind string) *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the documents",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, err := clientFromFlags(cmd)
			if err != nil {
				return err
			}
			all, err := loadAll(ctx, client, kind)
			if err != nil {
				return err
			}
			return printSummaries(cmd, all)
		},
	}
}

func printSummaries(cmd *cli.Command, all []Stored) error {
	summaries := []summary{}
	var rows [][]string
	for _, stored := range all {
		if !stored.Exists() {
			continue
		}
		s := summarize(stored)
		summaries = append(summaries, s)
		rows = append(rows, []string{s.Name, strconv.FormatUint(s.Version, 10), s.Detail, s.ChangedBy})
	}
	return outputFromFlags(cmd).print(summaries, table([]string{"NAME", "VERSION", "DETAIL", "CHANGED BY"}, rows))
}

func summarize(stored Stored) summary {
	s := summary{Name: stored.Document.ObjectName(), Version: stored.Version}
	switch d := stored.Document.(type) {
	case *templateDocument:
		s.Detail = "service " + d.Service
	case *workspaceDocument:
		s.Detail = "template " + d.Template
	}
	if history := stored.Document.Changes(); len(history) > 0 {
		s.ChangedBy = history[0].Author
	}
	return s
}

func diffCommand(kind string) *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show how files differ from what is stored",
		ArgsUsage: "FILE...",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			files, err := readFiles(cmd, kind)
			if err != nil {
				return err
			}
			editor, err := editorFromFlags(cmd)
			if err != nil {
				return err
			}
			var reports []Report
			for _, file := range files {
				report, err := editor.Compare(ctx, file)
				if err != nil {
					return err
				}
				reports = append(reports, report)
			}
			return printReports(cmd, reports)
		},
	}
}

func deleteCommand(kind string) *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "mark a document as removed",
		ArgsUsage: "NAME",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := oneArgument(cmd, "NAME")
			if err != nil {
				return err
			}
			return withReport(cmd, func(editor *Editor) (Report, error) {
				return editor.Remove(ctx, kind, name)
			})
		},
	}
}

func setCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "change single values of a workspace",
		ArgsUsage: "NAME KEY=VALUE...",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			arguments, err := someArguments(cmd, "NAME")
			if err != nil {
				return err
			}
			return withReport(cmd, func(editor *Editor) (Report, error) {
				return editor.Set(ctx, arguments[0], arguments[1:])
			})
		},
	}
}

// withReport runs a change and prints its outcome, also when the change failed.
func withReport(cmd *cli.Command, run func(*Editor) (Report, error)) error {
	editor, err := editorFromFlags(cmd)
	if err != nil {
		return err
	}
	report, err := run(editor)
	if report.Outcome == "" {
		return err
	}
	return errors.Join(printReports(cmd, []Report{report}), err)
}

func changeCommand() *cli.Command {
	return &cli.Command{
		Name:      "change",
		Usage:     "report whether a change was done, and prevent one that was not from taking effect later",
		ArgsUsage: "CHANGE_ID",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			text, err := oneArgument(cmd, "CHANGE_ID")
			if err != nil {
				return err
			}
			id, err := ParseChangeID(text)
			if err != nil {
				return err
			}
			return withReport(cmd, func(editor *Editor) (Report, error) {
				return editor.Resolve(ctx, id)
			})
		},
	}
}

package anvilconfigcmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilcheck"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
	"anvilshunt/io/anvilcmd/anviltable"
	"anvilshunt/io/anvilsettings"
)

// errWarnings is returned with --strict for files that have warnings and no errors.
var errWarnings = errors.New("there are warnings")

type checkOptions struct {
	Files       []string
	Online      bool
	Strict      bool
	ClientFlags *anvilfactory.ClientFlags
	Streams     anvilfactory.Streams
	LoadFile    func(string) ([]byte, error)
}

// checkedFile is the result of the check of one file.
type checkedFile struct {
	File string `json:"file"`
	OK   bool   `json:"ok"`
	// Revision is the revision in force against which a change set was checked, and nil offline.
	Revision    *anvilid.Revision       `json:"revision,omitempty"`
	Findings    []anvilcheck.Finding    `json:"findings,omitempty"`
	Differences []anvilcheck.Difference `json:"differences,omitempty"`
}

func newCheck(factory *anvilfactory.Factory) *ff.Command {
	opts := &checkOptions{Streams: factory.Streams, LoadFile: os.ReadFile}
	flags := ff.NewFlagSet("check")
	opts.ClientFlags = factory.AddClientFlags(flags)
	flags.BoolVar(&opts.Online, 0, "online", "compare change sets with the configuration and the targets of the running system")
	flags.BoolVar(&opts.Strict, 0, "strict", "fail if there are warnings")
	return &ff.Command{
		Name:      "check",
		Usage:     "anvilshunt config check FILE ... [--online] [--strict] [--json]",
		ShortHelp: "check settings files and change sets without starting or changing anything",
		LongHelp: "A FILE with the field set or delete is a change set, any other one holds the settings of an instance.\n" +
			"The exit code is 0 without errors, 1 for warnings with --strict, 2 for errors, and 3 if --online reaches\n" +
			"no instance.\n\n" +
			"Example:\n  anvilshunt config check /etc/anvilshunt/palermo-1.jsonc accounts.jsonc --online",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return anvilfactory.UsageErrorf("config check takes one or more settings files or change sets")
			}
			opts.Files = args
			return runCheck(ctx, opts)
		},
	}
}

func runCheck(ctx context.Context, opts *checkOptions) error {
	var checked []checkedFile
	for _, file := range opts.Files {
		result, err := checkFile(ctx, opts, file)
		if err != nil {
			return err
		}
		result.OK = anvilcheck.Count(result.Findings, anvilcheck.SeverityError) == 0
		checked = append(checked, result)
	}
	if opts.ClientFlags.JSON {
		if err := anviltable.WriteJSON(opts.Streams.Out, checked); err != nil {
			return err
		}
	} else {
		for _, result := range checked {
			writeChecked(opts.Streams, result)
		}
	}
	return verdict(checked, opts.Strict)
}

// verdict returns all errors that were found as one error.
func verdict(checked []checkedFile, strict bool) error {
	var failures []string
	warnings := 0
	for _, result := range checked {
		warnings += anvilcheck.Count(result.Findings, anvilcheck.SeverityWarning)
		for _, finding := range result.Findings {
			if finding.Severity == anvilcheck.SeverityError {
				failures = append(failures, formatFinding(result.File, finding))
			}
		}
	}
	switch {
	case len(failures) > 0:
		return anvilfactory.UsageErrorf("%s", strings.Join(failures, "\n"))
	case strict && warnings > 0:
		return fmt.Errorf("%w: %d; correct them, or leave out --strict", errWarnings, warnings)
	}
	return nil
}

func checkFile(ctx context.Context, opts *checkOptions, file string) (checkedFile, error) {
	data, err := opts.LoadFile(file)
	switch {
	case err != nil:
		finding := anvilcheck.Finding{Severity: anvilcheck.SeverityError, Code: anvilcheck.CodeUnreadable, Text: err.Error()}
		return checkedFile{File: file, Findings: []anvilcheck.Finding{finding}}, nil
	case anvilcheck.IsChange(data):
		return checkChange(ctx, opts, file, data)
	}
	return checkSettings(file, data)
}

func checkSettings(file string, data []byte) (checkedFile, error) {
	result := checkedFile{File: file}
	_, err := anvilsettings.Parse(file, data)
	var invalid *anvilsettings.Error
	if err != nil && !errors.As(err, &invalid) {
		return result, err
	}
	if invalid != nil {
		for _, problem := range invalid.Problems {
			result.Findings = append(result.Findings, anvilcheck.Finding{
				Severity: anvilcheck.SeverityError, Code: anvilcheck.CodeBadSettings, Line: problem.Line, Text: problem.Text,
			})
		}
	}
	return result, nil
}

// writeChecked writes the differences and warnings of a file. The errors are part of the error that the
// command returns.
func writeChecked(streams anvilfactory.Streams, result checkedFile) {
	if result.Revision != nil {
		fmt.Fprintf(streams.Out, "%s: %d differences from revision %d, which is in force\n", result.File, len(result.Differences), *result.Revision)
	}
	for _, difference := range result.Differences {
		fmt.Fprintf(streams.Out, "  %s\n", difference)
	}
	warnings := anvilcheck.Count(result.Findings, anvilcheck.SeverityWarning)
	for _, finding := range result.Findings {
		if finding.Severity == anvilcheck.SeverityWarning {
			fmt.Fprintln(streams.Out, formatFinding(result.File, finding))
		}
	}
	switch {
	case !result.OK:
	case warnings > 0:
		fmt.Fprintf(streams.Out, "%s: ok, warnings: %d\n", result.File, warnings)
	default:
		fmt.Fprintf(streams.Out, "%s: ok\n", result.File)
	}
}

// formatFinding formats a finding like a compiler message: file, line and text. The line is missing for
// findings about objects that are not in the file.
func formatFinding(file string, finding anvilcheck.Finding) string {
	if finding.Line == 0 {
		return fmt.Sprintf("%s: %s", file, finding)
	}
	return fmt.Sprintf("%s:%d: %s", file, finding.Line, finding)
}

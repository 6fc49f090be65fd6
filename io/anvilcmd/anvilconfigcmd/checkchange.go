package anvilconfigcmd

import (
	"cmp"
	"context"
	"errors"

	"anvilshunt/core/anvilcheck"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/io/anvilclient"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

func checkChange(ctx context.Context, opts *checkOptions, file string, data []byte) (checkedFile, error) {
	result := checkedFile{File: file}
	document, findings := anvilcheck.Parse(data)
	switch {
	case len(findings) > 0:
		result.Findings = findings
		return result, nil
	case !opts.Online:
		result.Findings = document.Locate(anvilcheck.Offline(document.Change))
		return result, nil
	}
	return checkOnline(ctx, opts.ClientFlags.NewClient(), result, document)
}

// checkOnline asks an instance whether it would accept the change set, and compares it with the
// configuration and the targets that the instance knows.
func checkOnline(ctx context.Context, client *anvilclient.Client, result checkedFile, document *anvilcheck.Document) (checkedFile, error) {
	config, err := client.Config(ctx)
	if err != nil {
		return result, anvilfactory.ExplainError(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return result, anvilfactory.ExplainError(err)
	}
	problems, err := refusedProblems(ctx, client, document.Change, config)
	if err != nil {
		return result, err
	}
	current := anvilconfig.NewSnapshot(config.Revision, config.Objects...)
	found := anvilcheck.Against(current, document.Change, anvilcheck.NewFleet(status.Targets), problems)
	result.Findings = document.Locate(found)
	result.Revision = &config.Revision
	result.Differences, err = anvilcheck.Differences(current, document.Change)
	return result, err
}

// refusedProblems returns the problems for which an instance would refuse the change set.
func refusedProblems(ctx context.Context, client *anvilclient.Client, change anvilconfig.Change, config anvilclient.Config) ([]anvilconfig.Problem, error) {
	change = anvilcheck.Named(change)
	change.BaseRevision = cmp.Or(change.BaseRevision, config.Revision)
	err := client.Check(ctx, change)
	var refusal *anvilclient.Refusal
	if errors.As(err, &refusal) && len(refusal.Problems) > 0 {
		return refusal.Problems, nil
	}
	return nil, anvilfactory.ExplainError(err)
}

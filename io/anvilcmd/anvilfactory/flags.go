package anvilfactory

import (
	"errors"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilclient"
)

// EnvServers is the environment variable with the comma-separated addresses of instances.
const EnvServers = "ANVILSHUNT_SERVERS"

const defaultServer = "127.0.0.1:8081"

// ClientFlags contains the values of the flags --servers and --json, which all commands that call
// instances share.
type ClientFlags struct {
	Servers string
	JSON    bool

	factory *Factory
}

// AddClientFlags adds the flags --servers and --json to a flag set and returns their values.
func (f *Factory) AddClientFlags(flags *ff.FlagSet) *ClientFlags {
	clientFlags := &ClientFlags{factory: f}
	flags.StringVar(&clientFlags.Servers, 0, "servers", "", "comma-separated addresses of instances (default: $"+EnvServers+" or "+defaultServer+")")
	flags.BoolVar(&clientFlags.JSON, 0, "json", "print JSON")
	return clientFlags
}

// NewClient returns a client for the instances that the flag --servers lists, or else those that the
// environment variable EnvServers lists, or else for the instance at defaultServer.
func (r *ClientFlags) NewClient() *anvilclient.Client {
	servers := r.Servers
	if servers == "" {
		servers = r.factory.Env(EnvServers)
	}
	if servers == "" {
		servers = defaultServer
	}
	var addresses []anvilid.Address
	for _, server := range strings.Split(servers, ",") {
		addresses = append(addresses, anvilid.Address(strings.TrimSpace(server)))
	}
	return anvilclient.New(r.factory.Client(), addresses)
}

// ExplainError wraps an error of the client in ErrUsage if the change set is invalid, and in
// ErrUnavailable if no instance can be reached. It adds details, or what the user can do about the
// error.
func ExplainError(err error) error {
	var refusal *anvilclient.Refusal
	switch {
	case err == nil:
		return nil
	case errors.Is(err, anvilclient.ErrUnreachable):
		return fmt.Errorf("%w: %w; name running instances with --servers or $%s", ErrUnavailable, err, EnvServers)
	case errors.As(err, &refusal) && len(refusal.Problems) > 0:
		lines := []string{refusal.Text}
		for _, problem := range refusal.Problems {
			lines = append(lines, "  "+problem.Error())
		}
		return UsageErrorf("%s", strings.Join(lines, "\n"))
	case errors.As(err, &refusal) && refusal.Conflict != nil:
		return fmt.Errorf("%w; the latest change is %q by %q at revision %d, objects that differ: %v",
			err, refusal.Conflict.Change, refusal.Conflict.Operator, refusal.Conflict.Revision, refusal.Conflict.ChangedObjects)
	}
	return err
}

// OneArgument returns the positional argument of a command that takes exactly one. The text what
// describes this argument in the error for any other number of arguments.
func OneArgument(args []string, what string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", UsageErrorf("expected one argument, %s", what)
	}
	return args[0], nil
}

// NoArguments returns an error if there are positional arguments.
func NoArguments(args []string) error {
	if len(args) > 0 {
		return UsageErrorf("unexpected argument %q", args[0])
	}
	return nil
}

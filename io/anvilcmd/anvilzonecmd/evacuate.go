package anvilzonecmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilcmd/anvilfactory"
)

// change is one of the two commands that change whether a zone is evacuated.
type change struct {
	name, short, done string
	end               bool
}

func newEvacuate(factory *anvilfactory.Factory) *ff.Command {
	return newChange(factory, change{
		name: "evacuate", short: "send no new work to the targets of a zone until it returns", done: "receives no new work",
	})
}

func newReturn(factory *anvilfactory.Factory) *ff.Command {
	return newChange(factory, change{name: "return", short: "use the targets of an evacuated zone again", done: "is used", end: true})
}

func newChange(factory *anvilfactory.Factory, change change) *ff.Command {
	flags := ff.NewFlagSet(change.name)
	clientFlags := factory.AddClientFlags(flags)
	return &ff.Command{
		Name:      change.name,
		Usage:     "anvilshunt zone " + change.name + " REGION/ZONE",
		ShortHelp: change.short,
		LongHelp:  "What runs in the zone goes on.\n\nExample:\n  anvilshunt zone " + change.name + " west/palermo",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			argument, err := anvilfactory.OneArgument(args, "the zone as REGION/ZONE")
			if err != nil {
				return err
			}
			region, zone, found := strings.Cut(argument, "/")
			if !found || region == "" || zone == "" {
				return anvilfactory.UsageErrorf("%q names no zone; write REGION/ZONE as `anvilshunt zone list` does", argument)
			}
			everywhere, err := clientFlags.NewClient().ChangeZone(ctx, anvilid.RegionName(region), anvilid.ZoneName(zone), change.end)
			if err != nil {
				return anvilfactory.ExplainError(err)
			}
			fmt.Fprintf(factory.Streams.Out, "zone %s %s, %s\n", argument, change.done, extent(everywhere))
			return nil
		},
	}
}

// extent says on which instances a change is in force.
func extent(everywhere bool) string {
	if everywhere {
		return "on all instances"
	}
	return "not confirmed by all instances yet"
}

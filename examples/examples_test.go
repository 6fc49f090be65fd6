// Package anvilexamples tests the settings files and change sets of the example deployments.
package anvilexamples

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/tailscale/hujson"
	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilsettings"
)

// inventory returns the targets of both deployments as described in design.md: 3 zones with 2 racks
// each, 8 workers in each rack, and 8 accelerators in each worker. If the change keeps targets for
// short requests, it leaves out as many workers at the end of each zone.
func inventory(change anvilconfig.Change) anvilconfig.Inventory {
	short := 0
	for _, object := range change.Set {
		if object.Service != nil {
			short = (object.Service.ShortOnlyTargets + 2) / 3
		}
	}
	return func(anvilid.ServiceName) []anvilconfig.Zone { return zones(short) }
}

func zones(short int) []anvilconfig.Zone {
	var zones []anvilconfig.Zone
	for z := range 3 {
		zone := anvilconfig.Zone{Region: "r", Name: anvilid.ZoneName(fmt.Sprintf("z%d", z))}
		for r := range 2 {
			rack := anvilconfig.Rack{Name: anvilid.RackName(fmt.Sprintf("z%d-r%d", z, r))}
			for w := range 8 {
				id := anvilid.TargetID(fmt.Sprintf("%s-w%d", rack.Name, w))
				rack.Targets = append(rack.Targets, anvilconfig.Target{ID: id, Accelerators: 8})
			}
			if r == 1 {
				rack.Targets = rack.Targets[:len(rack.Targets)-short]
			}
			zone.Racks = append(zone.Racks, rack)
		}
		zones = append(zones, zone)
	}
	return zones
}

// TestChangeSets checks that a system of the documented size without any configuration accepts the
// change sets of the examples.
func TestChangeSets(t *testing.T) {
	for _, c := range []struct {
		directory string
		accounts  int
	}{{"tour", 2}, {"sicily", 4}, {"denmark", 4}} {
		t.Run(c.directory, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(c.directory, "config.jsonc"))
			assert.NilError(t, err)
			standard, err := hujson.Standardize(data)
			assert.NilError(t, err)
			change, problems := anvilconfig.ParseChange(standard)
			assert.Equal(t, len(problems), 0, "%v", problems)
			// `config apply` adds the id and the operator. The file must not contain an id: after a
			// refusal it could not be applied again, because the result is recorded for the id.
			assert.Equal(t, change.ID, anvilid.ChangeID(""))
			change.ID = "example"
			if change.Operator == "" {
				change.Operator = "ada"
			}
			accounts := 0
			for _, object := range change.Set {
				if object.Kind == anvilconfig.KindAccount {
					accounts++
				}
			}
			assert.Equal(t, accounts, c.accounts)
			_, problems = anvilconfig.Check(anvilconfig.NewSnapshot(0), change, inventory(change))
			assert.Equal(t, len(problems), 0, "%v", problems)
		})
	}
}

// TestSettings checks that the instances of a deployment can form one system: all list the same
// initial voters, no two share an address, and each zone has one voter, so that the loss of a zone
// leaves a majority.
func TestSettings(t *testing.T) {
	for _, c := range []struct {
		directory string
		instances int
	}{{"tour", 3}, {"sicily", 8}, {"denmark", 7}} {
		t.Run(c.directory, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join(c.directory, "*-*.jsonc"))
			assert.NilError(t, err)
			assert.Equal(t, len(files), c.instances)
			addresses := map[anvilid.Address]string{}
			voters := map[anvilid.ZoneName]int{}
			var first []anvilsettings.Peer
			for _, file := range files {
				settings, err := anvilsettings.Load(file)
				assert.NilError(t, err)
				assert.Equal(t, string(settings.Instance)+".jsonc", filepath.Base(file))
				for _, address := range []anvilid.Address{settings.Public, settings.Peer} {
					assert.Equal(t, addresses[address], "", "address %s of %s is in use", address, file)
					addresses[address] = file
				}
				if first == nil {
					first = settings.Peers
				}
				assert.DeepEqual(t, settings.Peers, first)
				if settings.DataDir != "" {
					voters[settings.Zone]++
				}
			}
			assert.DeepEqual(t, voters, map[anvilid.ZoneName]int{
				zoneOf(first[0]): 1, zoneOf(first[1]): 1, zoneOf(first[2]): 1,
			})
		})
	}
}

// zoneOf returns the zone of an instance, which is the part of its name before the final "-1".
func zoneOf(peer anvilsettings.Peer) anvilid.ZoneName {
	return anvilid.ZoneName(peer.Instance[:len(peer.Instance)-len("-1")])
}

// Package anvilexamples checks the examples.
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

// inventory returns 6 racks of 8 workers with 8 accelerators each, two racks
// to a zone, as design.md gives it for both deployments. The last workers of
// each zone are left out if the change keeps targets for short requests.
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

// TestChangeSets guards against example change sets that an empty system of
// the documented size would refuse.
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
			// `config apply` adds these. A file with a fixed id couldn't be applied
			// again after a refusal, because the result is recorded for the id.
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

// TestSettings guards against settings of a deployment that can't form one
// system: instances that name different voters, share an address, or keep too
// many voters in one zone to survive its loss.
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

// zoneOf returns the zone that an instance name such as "palermo-1" begins
// with.
func zoneOf(peer anvilsettings.Peer) anvilid.ZoneName {
	return anvilid.ZoneName(peer.Instance[:len(peer.Instance)-len("-1")])
}

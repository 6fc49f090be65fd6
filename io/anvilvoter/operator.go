package anvilvoter

import (
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"

	"github.com/rotisserie/eris"
)

// Identify returns the id of the voter with a data directory, which it creates
// if needed. The voter must not be running.
func Identify(instance anvilid.InstanceID, dir string, opts ...anvildisk.Option) (anvilraft.VoterID, error) {
	storage, restored, err := anvildisk.Open(dir, opts...)
	if err != nil {
		return anvilraft.VoterID{}, err
	}
	return anvilraft.VoterID{Instance: instance, Storage: restored.Storage}, storage.Close()
}

// WriteBootstrap writes the result of anvilraft.Bootstrap into the empty data directory
// of a voter that isn't running. Every voter of a new group needs the same.
func WriteBootstrap(dir string, save anvilraft.Save, opts ...anvildisk.Option) error {
	return edit(dir, opts, func(restored anvilraft.PersistentState) (anvilraft.Save, error) {
		if restored.Hard != (anvilraft.HardState{}) || restored.Snapshot.Index > 0 || len(restored.Entries) > 0 {
			return anvilraft.Save{}, eris.Wrapf(ErrNotEmpty, "%s: add this voter to its group instead", dir)
		}
		return save, nil
	})
}

// ForceSoleVoter makes the voter with a data directory, which isn't running,
// the only voter of a new group. See anvilraft.ForceSoleVoter for the dangers.
func ForceSoleVoter(instance anvilid.InstanceID, group anvilraft.GroupID, dir string, opts ...anvildisk.Option) error {
	return edit(dir, opts, func(restored anvilraft.PersistentState) (anvilraft.Save, error) {
		self := anvilraft.VoterID{Instance: instance, Storage: restored.Storage}
		return anvilraft.ForceSoleVoter(self, restored, group), nil
	})
}

func edit(dir string, opts []anvildisk.Option, change func(anvilraft.PersistentState) (anvilraft.Save, error)) error {
	storage, restored, err := anvildisk.Open(dir, opts...)
	if err != nil {
		return err
	}
	save, err := change(restored.PersistentState)
	if err == nil {
		err = storage.Save(save)
	}
	if closeErr := storage.Close(); err == nil {
		err = closeErr
	}
	return err
}

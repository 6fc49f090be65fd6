package anvilvoter

import (
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"

	"github.com/rotisserie/eris"
)

// Identify returns the id of the voter with the given data directory. It creates
// the directory if it does not exist. The voter must not be running.
func Identify(instance anvilid.InstanceID, dir string, opts ...anvildisk.Option) (anvilraft.VoterID, error) {
	storage, restored, err := anvildisk.Open(dir, opts...)
	if err != nil {
		return anvilraft.VoterID{}, err
	}
	return anvilraft.VoterID{Instance: instance, Storage: restored.Storage}, storage.Close()
}

// WriteBootstrap writes the first log entry of a new group, which
// anvilraft.Bootstrap returned, into the empty data directory of a voter that is not
// running. All voters of the new group must start with the same entry.
func WriteBootstrap(dir string, save anvilraft.Save, opts ...anvildisk.Option) error {
	return editDataDir(dir, opts, func(restored anvilraft.PersistentState) (anvilraft.Save, error) {
		if !restored.IsEmpty() {
			return anvilraft.Save{}, eris.Wrapf(ErrNotEmpty, "%s already belongs to a group: add this voter to that group instead", dir)
		}
		return save, nil
	})
}

// ForceSoleVoter makes the voter with a data directory the only voter of a new
// group. The voter must not be running. See anvilraft.ForceSoleVoter for the
// risks.
func ForceSoleVoter(instance anvilid.InstanceID, group anvilraft.GroupID, dir string, opts ...anvildisk.Option) error {
	return editDataDir(dir, opts, func(restored anvilraft.PersistentState) (anvilraft.Save, error) {
		self := anvilraft.VoterID{Instance: instance, Storage: restored.Storage}
		return anvilraft.ForceSoleVoter(self, restored, group), nil
	})
}

func editDataDir(dir string, opts []anvildisk.Option, change func(anvilraft.PersistentState) (anvilraft.Save, error)) error {
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

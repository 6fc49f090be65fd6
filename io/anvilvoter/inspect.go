package anvilvoter

import (
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
)

// Inspect returns the id of the voter with the given data directory, and whether
// the directory has never contained a log. It creates the directory if it does not
// exist. The voter must not be running.
func Inspect(instance anvilid.InstanceID, dir string, opts ...anvildisk.Option) (id anvilraft.VoterID, empty bool, err error) {
	storage, restored, err := anvildisk.Open(dir, opts...)
	if err != nil {
		return anvilraft.VoterID{}, false, err
	}
	return anvilraft.VoterID{Instance: instance, Storage: restored.Storage}, restored.IsEmpty(), storage.Close()
}

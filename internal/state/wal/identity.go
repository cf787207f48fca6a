package wal

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	identityName     = "identity"
	identityFormat   = 1
	maxIdentityBytes = 1 << 10
)

// openIdentity reads the identity, or creates it before anything else is
// written. A directory that has a log but no identity is refused: a replica with a
// new identity must never continue the log of another one.
func (l *Log) openIdentity(names []string) error {
	name := l.path(identityName)

	if slices.Contains(names, identityName) {
		return l.readIdentity(name)
	}

	if len(parseNumbers(names, segmentSuffix)) > 0 || len(parseNumbers(names, snapshotSuffix)) > 0 {
		return newError("open", KindCorrupt, name, 0, errors.New("identity is missing"))
	}

	replica := l.newReplica
	for replica == 0 {
		var random [8]byte
		if _, err := rand.Read(random[:]); err != nil {
			return newError("open", KindFiles, name, 0, err)
		}

		replica = ReplicaID(binary.LittleEndian.Uint64(random[:]))
	}

	return l.writeIdentity(Identity{Format: identityFormat, Replica: replica})
}

func (l *Log) readIdentity(name string) error {
	encoded, err := l.files.Read(name)
	if err != nil {
		return newError("open", KindFiles, name, 0, err)
	}

	payload, _, err := unframe(location{}, encoded, maxIdentityBytes)
	if err == nil {
		err = decMode.Unmarshal(payload, &l.identity)
	}

	if err == nil && (l.identity.Format != identityFormat || l.identity.Replica == 0) {
		err = fmt.Errorf("format %d is not supported", l.identity.Format)
	}

	if err != nil {
		return newError("open", KindCorrupt, name, 0, err)
	}

	return nil
}

func (l *Log) writeIdentity(identity Identity) error {
	payload, err := cbor.Marshal(identity)
	if err != nil {
		return newError("identity", KindTooLarge, l.path(identityName), 0, err)
	}

	encoded, err := frame(location{}, payload, maxIdentityBytes)
	if err != nil {
		return newError("identity", KindTooLarge, l.path(identityName), 0, err)
	}

	if err := l.replaceFile(l.path(identityName), encoded); err != nil {
		return err
	}

	l.identity = identity

	return nil
}

// Join records the group that the replica belongs to. It returns an error of
// KindIdentity if the replica belongs to another group or the generation is lower
// than the recorded one.
func (l *Log) Join(cluster ClusterID, generation uint64) error {
	if l.failed != nil {
		return newError("join", KindFailed, l.directory, 0, l.failed)
	}

	current := l.identity
	if current.Cluster == cluster && current.Generation == generation {
		return nil
	}

	if cluster == 0 || (current.Cluster != 0 && current.Cluster != cluster) || generation < current.Generation {
		return newError("join", KindIdentity, l.path(identityName), 0,
			fmt.Errorf("replica %v belongs to cluster %v generation %d, not to cluster %v generation %d",
				current.Replica, current.Cluster, current.Generation, cluster, generation))
	}

	current.Cluster, current.Generation = cluster, generation

	return l.writeIdentity(current)
}

package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sorrelrudder/internal/gossip"
)

// maxSavedEntries limits the entries that are saved for the next start.
const maxSavedEntries = 2000

// snapshot encodes the shared state for the next start of the member of that name. The member's own entries are omitted: the member must
// observe these facts again.
func (s *sharedState) snapshot(name string) []byte {
	m := &gossip.Message{Kind: gossip.SyncMessage, Target: name}
	m.Owners = append(m.Owners, gossip.OwnerState{Name: name, Incarnation: s.node.Incarnation()})
	s.node.Store().ForEach("", func(e *gossip.Entry) bool {
		if e.Owner == name {
			return true
		}
		m.Entries = append(m.Entries, *e)
		return len(m.Entries) < maxSavedEntries
	})
	return addChecksum(m.Encode())
}

// restore loads the state that the last start of the member of that name has saved. Newer entries from their owners replace it. A file that
// cannot be read or decoded, or that belongs to another member, is renamed: other members usually have all of its entries.
func (s *sharedState) restore(now time.Duration, name string) error {
	if s.cfg.Store == "" {
		return nil
	}
	data, err := os.ReadFile(s.cfg.Store)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var m *gossip.Message
	if err == nil {
		data, err = removeChecksum(data)
	}
	if err == nil {
		m, err = gossip.Decode(data)
	}
	if err == nil && m.Target != name {
		err = fmt.Errorf("the file belongs to member %q", m.Target)
	}
	if err != nil {
		damagedPath := s.cfg.Store + ".damaged"
		if renameErr := os.Rename(s.cfg.Store, damagedPath); renameErr != nil {
			return fmt.Errorf("restoring the shared state from %s: %w; renaming the damaged file: %w", s.cfg.Store, err, renameErr)
		}
		return nil
	}
	s.node.Restore(now, m)
	s.loaded = len(m.Entries)
	return nil
}

// writeFileAtomically replaces a file. After a crash, the file has either the old or the new contents.
func writeFileAtomically(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails once the file is renamed
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", strings.TrimSpace(path), err)
	}
	return nil
}

// checksumLength is the length of a checksum in bytes.
const checksumLength = 4

// addChecksum prefixes data with its checksum.
func addChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(data)), data...)
}

// removeChecksum checks the checksum that addChecksum has added, and returns the data without it.
func removeChecksum(checksummed []byte) ([]byte, error) {
	if len(checksummed) < checksumLength {
		return nil, errors.New("a stored value is missing or too short to hold its checksum")
	}
	if crc32.ChecksumIEEE(checksummed[checksumLength:]) != binary.BigEndian.Uint32(checksummed) {
		return nil, errors.New("checksum mismatch")
	}
	return checksummed[checksumLength:], nil
}

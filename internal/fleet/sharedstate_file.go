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

// maxSavedEntries bounds the entries that are kept for the next start.
const maxSavedEntries = 2000

// snapshot encodes the state for the next start of member name. Its own entries are left out: it has to observe them anew.
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
	return sealFile(m.Encode())
}

// restore takes over what the last start of member name has saved. Newer entries of their owners replace it. A file that is damaged, another
// member's or of another format is renamed, since other members have all of it.
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
		data, err = unsealFile(data)
	}
	if err == nil {
		m, err = gossip.Decode(data)
	}
	if err == nil && m.Target != name {
		err = fmt.Errorf("it was kept by %q", m.Target)
	}
	if err != nil {
		aside := s.cfg.Store + ".damaged"
		if moved := os.Rename(s.cfg.Store, aside); moved != nil {
			return fmt.Errorf("what was shared: %s: %w; and it can't be put aside: %w", s.cfg.Store, err, moved)
		}
		return nil
	}
	s.node.Restore(now, m)
	s.loaded = len(m.Entries)
	return nil
}

// writeFileAtomically replaces a file: after a crash there is the old one or the new one.
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
	if closed := f.Close(); err == nil {
		err = closed
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

// sealFile prefixes data with its checksum.
func sealFile(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(data)), data...)
}

// unsealFile checks and removes the checksum of sealFile.
func unsealFile(sealed []byte) ([]byte, error) {
	if len(sealed) < checksumLength {
		return nil, errors.New("a value is missing")
	}
	if crc32.ChecksumIEEE(sealed[checksumLength:]) != binary.BigEndian.Uint32(sealed) {
		return nil, errors.New("a checksum is wrong")
	}
	return sealed[checksumLength:], nil
}

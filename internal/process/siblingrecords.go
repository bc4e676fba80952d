package process

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

const (
	// recordBytes is the size of a published record.
	recordBytes = 8
	// publishedMark is the first record of a process that publishes; a sibling of a version that does not publish has no records.
	publishedMark uint64 = 0x736f7272656c3031
	// maxRecordsRead bounds the records that are read at once.
	maxRecordsRead = 8 << 10
)

// siblingRecords are the records that the processes of a group publish.
type siblingRecords struct {
	mu       sync.Mutex
	written  int64                     // bytes of this process's file that hold whole records
	siblings map[string]*publishedFile // by the names of their files
}

// publishedFile is the file of a sibling. It can be read after the sibling has removed it.
type publishedFile struct {
	file   *os.File
	offset int64
}

// Publish appends records to those that the siblings of this process can read. The first call marks this process as one that publishes. After
// an error the records are not published; the next call begins where the last whole record ends, whatever was written.
func (g *SiblingGroup) Publish(records []uint64) error {
	r := &g.records
	r.mu.Lock()
	defer r.mu.Unlock()
	buffer := make([]byte, 0, recordBytes*(1+len(records)))
	if r.written == 0 {
		buffer = binary.LittleEndian.AppendUint64(buffer, publishedMark)
	}
	for _, record := range records {
		buffer = binary.LittleEndian.AppendUint64(buffer, record)
	}
	if _, err := g.file.WriteAt(buffer, r.written); err != nil {
		return fmt.Errorf("publish records to sibling processes: %w", err)
	}
	r.written += int64(len(buffer))
	return nil
}

// Received calls f with each record that a sibling has published since the last call. A record that is not written whole yet comes later.
func (g *SiblingGroup) Received(f func(record uint64)) error {
	r := &g.records
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, sibling := range r.siblings {
		if err := sibling.read(f); err != nil {
			return fmt.Errorf("read the records of sibling process %s: %w", name, err)
		}
	}
	return nil
}

// AllPublish reports whether each sibling that Others has found publishes.
func (g *SiblingGroup) AllPublish() bool {
	r := &g.records
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sibling := range r.siblings {
		info, err := sibling.file.Stat()
		if err != nil || info.Size() < recordBytes {
			return false
		}
	}
	return true
}

// follow begins to read the records of a sibling, unless it does so already. A file that is gone belongs to a sibling that has ended.
func (r *siblingRecords) follow(dir, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.siblings[name] != nil {
		return
	}
	if file, err := os.Open(filepath.Join(dir, name)); err == nil {
		r.siblings[name] = &publishedFile{file: file}
	}
}

// Forget ends the reading of the records of the siblings that Others has found so far.
func (g *SiblingGroup) Forget() { g.records.close() }

// close closes the files of all siblings.
func (r *siblingRecords) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, sibling := range r.siblings {
		sibling.file.Close()
		delete(r.siblings, name)
	}
}

// read calls f with the records that have been added.
func (p *publishedFile) read(f func(record uint64)) error {
	for {
		info, err := p.file.Stat()
		if err != nil {
			return err
		}
		whole := (info.Size() - p.offset) / recordBytes
		if whole <= 0 {
			return nil
		}
		buffer := make([]byte, recordBytes*min(whole, maxRecordsRead))
		n, err := p.file.ReadAt(buffer, p.offset)
		for i := 0; i+recordBytes <= n; i += recordBytes {
			if record := binary.LittleEndian.Uint64(buffer[i:]); record != publishedMark {
				f(record)
			}
			p.offset += recordBytes
		}
		if err != nil {
			return err
		}
	}
}

package quorum

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"
)

// Names and limits of the files in a data folder. Each file holds checksummed records. A file
// under its final name is complete up to its last sync.
const (
	identityFile = "identity"
	walPrefix    = "wal-"
	snapPrefix   = "snapshot-"
	tempSuffix   = ".tmp"

	headerBytes = 8       // record length and checksum
	maxRecord   = 1 << 30 // bytes; a larger length is treated as damage
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// record is one record of the write-ahead log. Its entries replace those of earlier records from
// its first index on.
type record struct {
	Hard    *HardState `msgpack:"h,omitempty"`
	Entries []Entry    `msgpack:"e,omitempty"`
}

// Disk is a replica's data folder. It is not safe for concurrent use, except that Space and Sizes
// may be called at any time.
type Disk struct {
	dir  string
	lock *os.File
	wal  *os.File
	gen  uint64
	// size is the length of the log file, initialSize its length when it was started after a
	// snapshot, and snapshotSize the length of the latest snapshot, all in bytes.
	size, initialSize, snapshotSize atomic.Int64
	snapshotIndex                   uint64
	state                           Stored
	// initialID is the identity that an empty folder gets, 0 for a random one.
	initialID uint64
	// write is replaced by tests that simulate a full disk.
	write func(*os.File, []byte) (int, error)
}

// Stored is the content of a data folder at the time it was opened.
type Stored struct {
	ID       uint64
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// TornBytes is the length of an incomplete tail of the log that was truncated.
	TornBytes int64
}

// OpenDisk opens a data folder, creating it if needed. An empty folder gets a random identity.
//
// It returns an error that names the file and the remedy if synced data is damaged: continuing
// with a part of it could undo acknowledged changes.
func OpenDisk(dir string) (*Disk, error) { return OpenDiskAs(dir, 0) }

// OpenDiskAs opens a data folder like OpenDisk, but gives an empty one the identity id unless
// that is 0. It is for the members of a first replica set, which must know each other's
// identities before they communicate.
func OpenDiskAs(dir string, id uint64) (*Disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Error.Wrap(err)
	}
	d := &Disk{dir: dir, initialID: id, write: (*os.File).Write}
	if err := d.lockFolder(); err != nil {
		return nil, err
	}
	if err := d.load(); err != nil {
		d.lock.Close()
		return nil, err
	}
	return d, nil
}

// Stored returns the content of the folder at the time it was opened.
func (d *Disk) Stored() Stored { return d.state }

func (d *Disk) lockFolder() error {
	f, err := os.OpenFile(filepath.Join(d.dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return Error.New("data folder %s is in use by another process; stop it or choose another folder", d.dir)
	}
	d.lock = f
	return nil
}

func (d *Disk) load() error {
	d.removeTemporary()
	if err := d.loadIdentity(); err != nil {
		return err
	}
	if err := d.loadSnapshot(); err != nil {
		return err
	}
	return d.loadWAL()
}

func (d *Disk) removeTemporary() {
	names, _ := filepath.Glob(filepath.Join(d.dir, "*"+tempSuffix))
	for _, n := range names {
		os.Remove(n) // was never renamed, so nothing depends on it
	}
}

func (d *Disk) loadIdentity() error {
	path := filepath.Join(d.dir, identityFile)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return d.makeIdentity()
	}
	if err != nil {
		return Error.Wrap(err)
	}
	payload, n := parseRecord(b)
	if n != len(b) || len(payload) != 8 {
		return damaged(path, 0)
	}
	d.state.ID = binary.LittleEndian.Uint64(payload)
	return nil
}

// makeIdentity creates the identity of a folder without a log. A log whose identity file was
// deleted must not rejoin under another identity.
func (d *Disk) makeIdentity() error {
	if names := d.list(walPrefix); len(names) > 0 {
		return Error.New("data folder %s has a log but no identity file; restore the file or empty the folder to rejoin as a new replica", d.dir)
	}
	d.state.ID = d.initialID
	if d.state.ID == 0 {
		d.state.ID = rand.Uint64() | 1
	}
	payload := binary.LittleEndian.AppendUint64(nil, d.state.ID)
	return d.writeAtomic(identityFile, payload)
}

func (d *Disk) list(prefix string) []string {
	names, _ := filepath.Glob(filepath.Join(d.dir, prefix+"*"))
	sort.Strings(names)
	return names
}

func (d *Disk) loadSnapshot() error {
	names := d.list(snapPrefix)
	if len(names) == 0 {
		return nil
	}
	path := names[len(names)-1]
	b, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	payload, n := parseRecord(b)
	if n != len(b) || n == 0 {
		return damaged(path, 0)
	}
	if err := msgpack.Unmarshal(payload, &d.state.Snapshot); err != nil {
		return damaged(path, 0)
	}
	d.snapshotIndex = d.state.Snapshot.Index
	d.snapshotSize.Store(int64(len(b)))
	return nil
}

func (d *Disk) loadWAL() error {
	names := d.list(walPrefix)
	if len(names) == 0 {
		if d.state.Snapshot.Index > 0 {
			return Error.New("data folder %s has a snapshot but no log; empty the folder to rejoin as a new replica", d.dir)
		}
		return d.startWAL(record{})
	}
	path := names[len(names)-1]
	if _, err := fmt.Sscanf(strings.TrimPrefix(filepath.Base(path), walPrefix), "%016x", &d.gen); err != nil {
		return damaged(path, 0)
	}
	// In append mode the next record follows the last one also after Save has truncated a part of
	// a record; otherwise the file offset would stay behind the new end and leave a gap.
	f, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	b, err := io.ReadAll(bufio.NewReader(f))
	if err != nil {
		return Error.Wrap(err)
	}
	good, err := d.replay(path, b)
	if err != nil {
		f.Close()
		return err
	}
	return d.resumeWAL(f, good, int64(len(b)))
}

// resumeWAL truncates a log file after its last valid record and continues to write there.
func (d *Disk) resumeWAL(f *os.File, good, size int64) error {
	d.state.TornBytes = size - good
	if err := f.Truncate(good); err != nil {
		return Error.Wrap(err)
	}
	if err := f.Sync(); err != nil {
		return Error.Wrap(err)
	}
	d.wal = f
	d.size.Store(good)
	return nil
}

// replay reads records up to the end or the first invalid one. An invalid record followed by a
// valid one is damage to synced data, because a record is only written after the previous one was
// synced. An invalid record at the end is a write that a crash interrupted before it was
// acknowledged to any other process.
func (d *Disk) replay(path string, b []byte) (good int64, err error) {
	for off := 0; off < len(b); {
		payload, n := parseRecord(b[off:])
		if n == 0 {
			if laterRecord(b[off+1:]) {
				return 0, damaged(path, int64(off))
			}
			return int64(off), nil
		}
		var r record
		if err := msgpack.Unmarshal(payload, &r); err != nil {
			return 0, damaged(path, int64(off))
		}
		if err := d.apply(r); err != nil {
			return 0, damaged(path, int64(off))
		}
		off += n
	}
	return int64(len(b)), nil
}

func (d *Disk) apply(r record) error {
	if r.Hard != nil {
		d.state.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= d.state.Snapshot.Index {
			continue
		}
		at := e.Index - d.state.Snapshot.Index - 1
		if at > uint64(len(d.state.Entries)) {
			return Error.New("gap in the log")
		}
		d.state.Entries = append(d.state.Entries[:at], e)
	}
	return nil
}

func damaged(path string, off int64) error {
	return Error.New("%s is damaged at byte %d before its end; empty the data folder, and the replica rejoins with a new identity", path, off)
}

// parseRecord returns the payload of the record at the start of b and the record's length, or
// length 0 if there is no complete record with a valid checksum.
func parseRecord(b []byte) (payload []byte, n int) {
	if len(b) < headerBytes {
		return nil, 0
	}
	size := int(binary.LittleEndian.Uint32(b))
	if size == 0 || size > maxRecord || headerBytes+size > len(b) {
		return nil, 0
	}
	payload = b[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0
	}
	return payload, headerBytes + size
}

func appendRecord(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, crcTable))
	return append(b, payload...)
}

// laterRecord reports whether a valid record starts at any offset in b.
func laterRecord(b []byte) bool {
	for i := range b {
		if payload, n := parseRecord(b[i:]); n > 0 {
			var r record
			if msgpack.Unmarshal(payload, &r) == nil {
				return true
			}
		}
	}
	return false
}

// Save appends the hard state and the entries of a Ready to the log and syncs it.
//
// ErrDiskFull means that nothing was saved and that the call may be retried. Any other error is
// fatal to the replica and must not be retried: after a failed sync the kernel may have dropped
// the pages and report success the next time.
func (d *Disk) Save(hs *HardState, entries []Entry) error {
	if hs == nil && len(entries) == 0 {
		return nil
	}
	b, err := encodeRecord(record{Hard: hs, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := d.write(d.wal, b); errors.Is(err, unix.ENOSPC) {
		// A part may have been written. It was not acknowledged, and the next record must not
		// follow an incomplete one.
		if terr := d.wal.Truncate(d.size.Load()); terr != nil {
			return Error.Wrap(terr)
		}
		return ErrDiskFull
	} else if err != nil {
		return Error.Wrap(err)
	}
	if err := unix.Fdatasync(int(d.wal.Fd())); err != nil {
		return Error.Wrap(err)
	}
	fileSynced(d.wal.Name(), d.size.Add(int64(len(b))))
	return nil
}

func encodeRecord(r record) ([]byte, error) {
	payload, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return appendRecord(nil, payload), nil
}

// SaveSnapshot makes s durable and starts a new log file that holds only the entries after it. The
// old log is removed only after the snapshot is in place.
func (d *Disk) SaveSnapshot(s Snapshot, hs HardState, after []Entry) error {
	payload, err := msgpack.Marshal(&s)
	if err != nil {
		return Error.Wrap(err)
	}
	if s.Index != d.snapshotIndex { // otherwise an earlier call had space for the snapshot alone
		if err := d.writeAtomic(fmt.Sprintf("%s%016x", snapPrefix, s.Index), payload); err != nil {
			return err
		}
	}
	d.snapshotIndex = s.Index
	d.snapshotSize.Store(int64(headerBytes + len(payload)))
	// The new log file may need the space of the old snapshot. The new snapshot is valid with the
	// old log file, too.
	d.removeOld(snapPrefix)
	if err := d.startWAL(record{Hard: &hs, Entries: after}); err != nil {
		return err
	}
	d.removeOld(walPrefix)
	return nil
}

// startWAL writes a new generation of the log and switches to it.
func (d *Disk) startWAL(first record) error {
	payload, err := msgpack.Marshal(&first)
	if err != nil {
		return Error.Wrap(err)
	}
	d.gen++
	name := fmt.Sprintf("%s%016x", walPrefix, d.gen)
	if err := d.writeAtomic(name, payload); err != nil {
		return err
	}
	if d.wal != nil {
		d.wal.Close()
	}
	d.wal, err = os.OpenFile(filepath.Join(d.dir, name), os.O_RDWR|os.O_APPEND, 0o600)
	d.size.Store(int64(headerBytes + len(payload)))
	d.initialSize.Store(d.size.Load())
	return Error.Wrap(err)
}

// removeOld removes all files with a prefix but the newest.
func (d *Disk) removeOld(prefix string) {
	names := d.list(prefix)
	for _, n := range names[:len(names)-1] {
		os.Remove(n) // a leftover is harmless: only the newest file is read
	}
}

// writeAtomic writes a file so that it is either absent or complete: write, sync, rename, sync
// the folder.
func (d *Disk) writeAtomic(name string, payload []byte) error {
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path+tempSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	record := appendRecord(nil, payload)
	_, err = d.write(f, record)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		fileSynced(f.Name(), int64(len(record)))
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = d.syncFolder()
	}
	if errors.Is(err, unix.ENOSPC) {
		os.Remove(path + tempSuffix) // frees its space
		return ErrDiskFull
	}
	return Error.Wrap(err)
}

func (d *Disk) syncFolder() error {
	f, err := os.Open(d.dir)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return err
	}
	folderSynced(d.dir)
	return nil
}

// Space returns the free space and the size of the disk in bytes. ok is false if they are unknown.
func (d *Disk) Space() (free, size int64, ok bool) {
	if f := spaceOverride.Load(); f != nil {
		free, size = (*f)(d.dir)
		return free, size, true
	}
	var st unix.Statfs_t
	if err := unix.Statfs(d.dir, &st); err != nil {
		return 0, 0, false
	}
	return int64(st.Bavail) * int64(st.Bsize), int64(st.Blocks) * int64(st.Bsize), true
}

// Sizes returns the sizes of the files in the data folder.
func (d *Disk) Sizes() Sizes {
	size := d.size.Load()
	return Sizes{Log: size, LogGrowth: size - d.initialSize.Load(), Snapshot: d.snapshotSize.Load()}
}

// Size returns the length of the current log file in bytes.
func (d *Disk) Size() int64 { return d.size.Load() }

// Close closes the log file and releases the lock on the folder.
func (d *Disk) Close() error {
	err := d.wal.Close()
	d.lock.Close()
	return Error.Wrap(err)
}

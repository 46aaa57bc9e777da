package quorum

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

func openDisk(t *testing.T, dir string) *Disk {
	t.Helper()
	d, err := OpenDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func save(t *testing.T, d *Disk, term uint64, from, to uint64) {
	t.Helper()
	var list []Entry
	for i := from; i <= to; i++ {
		list = append(list, Entry{Index: i, Term: term, Kind: EntryCommand, Data: []byte("data")})
	}
	if err := d.Save(&HardState{Term: term, Vote: 7, Commit: from - 1}, list); err != nil {
		t.Fatal(err)
	}
}

func walFile(t *testing.T, dir string) string {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(dir, walPrefix+"*"))
	if len(names) != 1 {
		t.Fatalf("log files: %v", names)
	}
	return names[0]
}

// A replica that restarts must have its identity, term, vote and log, with the later of two entries
// written at the same index.
func TestDiskKeepsVoteAndLog(t *testing.T) {
	dir := t.TempDir()
	d := openDisk(t, dir)
	id := d.Stored().ID
	save(t, d, 2, 1, 5)
	save(t, d, 3, 4, 6)
	d.Close()
	st := openDisk(t, dir).Stored()
	if st.ID != id || st.Hard.Term != 3 || st.Hard.Vote != 7 || len(st.Entries) != 6 || st.Entries[3].Term != 3 || st.Entries[2].Term != 2 {
		t.Fatalf("read back: %+v", st)
	}
}

// A crash in the middle of a write leaves an incomplete tail. It was neither synced nor acknowledged,
// so the replica truncates it and starts.
func TestTornTailIsCut(t *testing.T) {
	for _, keep := range []int64{1, 7, 8, 20} {
		dir := t.TempDir()
		d := openDisk(t, dir)
		save(t, d, 1, 1, 3)
		whole := d.Size()
		save(t, d, 1, 4, 4)
		d.Close()
		if err := os.Truncate(walFile(t, dir), whole+keep); err != nil {
			t.Fatal(err)
		}
		again := openDisk(t, dir)
		if st := again.Stored(); len(st.Entries) != 3 || st.TornBytes != keep {
			t.Fatalf("%d bytes of a torn record: %d entries, %d bytes truncated", keep, len(st.Entries), st.TornBytes)
		}
		save(t, again, 1, 4, 5)
		again.Close()
		if st := openDisk(t, dir).Stored(); len(st.Entries) != 5 {
			t.Fatalf("after the truncation: %d entries", len(st.Entries))
		}
	}
}

// A bit flips in a record that was synced long ago. Truncating the log there would silently undo
// acknowledged changes, so the replica refuses to start and names the file and the remedy.
func TestEarlierDamageIsRefused(t *testing.T) {
	dir := t.TempDir()
	d := openDisk(t, dir)
	save(t, d, 1, 1, 3)
	at := d.Size() - 4
	save(t, d, 1, 4, 9)
	d.Close()
	flip(t, walFile(t, dir), at)
	_, err := OpenDisk(dir)
	if err == nil || !strings.Contains(err.Error(), "is damaged at byte") || !strings.Contains(err.Error(), "empty the data folder") {
		t.Fatalf("error: %v", err)
	}
}

func flip(t *testing.T, path string, at int64) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[at] ^= 0x40
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// If the process crashes between any two steps of taking a snapshot, the files in the folder must
// still contain the same log.
func TestSnapshotSurvivesACrashBetweenItsSteps(t *testing.T) {
	dir := t.TempDir()
	d := openDisk(t, dir)
	save(t, d, 2, 1, 10)
	s := Snapshot{Index: 6, Term: 2, Data: []byte("state")}
	oldWAL := walFile(t, dir)
	old, _ := os.ReadFile(oldWAL)
	after := []Entry{{Index: 7, Term: 2}, {Index: 8, Term: 2}, {Index: 9, Term: 2}, {Index: 10, Term: 2}}
	if err := d.SaveSnapshot(s, HardState{Term: 2, Vote: 7, Commit: 10}, after); err != nil {
		t.Fatal(err)
	}
	d.Close()
	check := func(step string) {
		t.Helper()
		dd := openDisk(t, dir)
		defer dd.Close()
		st := dd.Stored()
		if st.Snapshot.Index != 6 || len(st.Entries) != 4 || st.Entries[0].Index != 7 || st.Hard.Term != 2 {
			t.Fatalf("%s: %+v", step, st)
		}
	}
	check("after all steps")
	newWAL := walFile(t, dir)
	if err := os.WriteFile(oldWAL, old, 0o600); err != nil { // crashed before the old log was removed
		t.Fatal(err)
	}
	check("old log still there")
	os.Remove(newWAL) // crashed before the new log was in place
	check("only the old log")
	os.WriteFile(filepath.Join(dir, "snapshot-x"+tempSuffix), []byte("half"), 0o600)
	check("half a snapshot under its temporary name")
}

// Two processes in one folder would overwrite each other's votes, so the second is refused. A log
// whose identity file was removed is refused as well.
func TestDataFolderRejectsSecondProcessAndMissingIdentity(t *testing.T) {
	dir := t.TempDir()
	d := openDisk(t, dir)
	if _, err := OpenDisk(dir); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Fatalf("second process: %v", err)
	}
	d.Close()
	os.Remove(filepath.Join(dir, identityFile))
	if _, err := OpenDisk(dir); err == nil || !strings.Contains(err.Error(), "no identity") {
		t.Fatalf("without identity: %v", err)
	}
}

// Opening a log file with arbitrary content either succeeds or returns an error. It never panics and
// never returns entries out of order.
func FuzzOpenDisk(f *testing.F) {
	good, err := encodeRecord(record{Hard: &HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Data: []byte("x")}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(append(append([]byte(nil), good...), good[:len(good)-3]...))
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		dir := t.TempDir()
		openDisk(t, dir).Close()
		if err := os.WriteFile(walFile(t, dir), b, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := OpenDisk(dir)
		if err != nil {
			return
		}
		defer d.Close()
		for i, e := range d.Stored().Entries {
			if e.Index != uint64(i+1) {
				t.Fatalf("entry %d has index %d", i, e.Index)
			}
		}
	})
}

// Guards against a log that can't be read after the disk was full: a part of a record is written
// after a restart and cut off again, and the next record must follow the one before it. If it
// follows the part that was cut off, the gap is taken for damage at the next start.
func TestLogIsReadableAfterAFullDisk(t *testing.T) {
	dir := t.TempDir()
	d := openDisk(t, dir)
	save(t, d, 2, 1, 3)
	d.Close()
	d = openDisk(t, dir)
	write := d.write
	d.write = func(f *os.File, b []byte) (int, error) {
		n, _ := f.Write(b[:len(b)/2])
		return n, unix.ENOSPC
	}
	if err := d.Save(nil, []Entry{{Index: 4, Term: 2, Kind: EntryCommand, Data: []byte("lost")}}); !errors.Is(err, ErrDiskFull) {
		t.Fatalf("a write on a full disk: %v", err)
	}
	d.write = write
	save(t, d, 2, 4, 5)
	d.Close()
	if st := openDisk(t, dir).Stored(); len(st.Entries) != 5 || string(st.Entries[3].Data) != "data" {
		t.Errorf("read back: %+v", st)
	}
}

package quorum

import (
	"errors"
	"time"
)

// maybeCompact starts a snapshot if one is due.
func (n *Node) maybeCompact() {
	if n.core.applyPaused || !n.compactionDue() {
		return
	}
	n.core.applyPaused = true
	s := encodedSnapshot{Snapshot: n.core.SnapshotAt(n.applied)}
	go func() {
		n.encode(&s)
		n.encoded <- s
	}()
}

func (n *Node) encode(s *encodedSnapshot) {
	defer snapshotSeconds.UpdateDuration(time.Now())
	s.Data, s.err = n.opts.Machine.Snapshot()
}

// compactionDue reports whether a snapshot is due: after SnapshotEntries, or after so many bytes of
// the log as the disk allows, or because it frees space on a full disk.
func (n *Node) compactionDue() bool {
	snapshot := n.core.log.snap.Index
	if n.applied <= snapshot || time.Now().Before(n.compactAfter) {
		return false
	}
	sizes := n.opts.Disk.Sizes()
	return n.applied >= snapshot+n.opts.SnapshotEntries || sizes.LogGrowth >= sizes.logLimit(n.diskSize) ||
		n.diskFull && sizes.reclaimable(n.diskSize)
}

// finishSnapshot replaces the applied part of the log with an encoded snapshot. It starts a new log
// file, so the write under way must have ended.
func (n *Node) finishSnapshot(s encodedSnapshot) error {
	n.core.applyPaused = false // the result is here; discardEncoding must not wait for another one
	if err := n.awaitWrite(); err != nil {
		return err
	}
	if s.Index <= n.core.log.snap.Index {
		return nil // a later one was saved while this one waited for disk space
	}
	return n.saveSnapshot(s, n.core.log.last())
}

// saveSnapshot saves a snapshot and a new log file with the entries after it, up to an index.
func (n *Node) saveSnapshot(s encodedSnapshot, last uint64) error {
	if s.err != nil {
		return Error.Wrap(s.err)
	}
	snapshotBytes.Set(float64(len(s.Data)))
	err := n.opts.Disk.SaveSnapshot(s.Snapshot, n.hardState(), n.core.log.after(s.Index)[:last-s.Index])
	if errors.Is(err, ErrDiskFull) {
		// The old log is still present and in use.
		n.diskFull, n.compactAfter = true, time.Now().Add(compactRetryInterval)
		return nil
	}
	if err != nil {
		return err
	}
	n.core.Compact(s.Snapshot)
	n.checkDisk()
	return nil
}

// reclaim saves a snapshot while the write of entries waits for space. Without it the write could
// wait for good for space that only a snapshot frees. The new log file ends before these entries.
func (n *Node) reclaim(entries []Entry) error {
	if n.applied <= n.core.log.snap.Index || time.Now().Before(n.compactAfter) || !n.opts.Disk.Sizes().reclaimable(n.diskSize) {
		return nil
	}
	if len(entries) == 0 || !n.core.log.holds(entries) {
		return nil // the write continues an older log, and its entries must not follow the present one
	}
	var s encodedSnapshot
	if n.core.applyPaused {
		s = <-n.encoded
		n.core.applyPaused = false
	} else {
		s.Snapshot = n.core.SnapshotAt(n.applied)
		n.encode(&s)
	}
	return n.saveSnapshot(s, entries[0].Index-1)
}

// discardEncoding waits for a snapshot that is being encoded and discards it.
func (n *Node) discardEncoding() {
	if n.core.applyPaused {
		<-n.encoded
		n.core.applyPaused = false
	}
}

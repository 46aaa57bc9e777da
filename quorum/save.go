package quorum

import (
	"errors"
	"math"
	"time"
)

// persist saves what a Ready contains. On a full disk it waits for free space: ending the process
// would not free any, and everything acknowledged is already on disk. Meanwhile it does not act as
// leader, so the others elect another one.
func (n *Node) persist(rd Ready) error {
	return n.retryWhenFull(n.persistOnce(rd), rd.Entries, func() error { return n.persistOnce(rd) })
}

// retryWhenFull repeats a save of entries that ended with err for as long as the disk is full.
func (n *Node) retryWhenFull(err error, entries []Entry, save func() error) error {
	for errors.Is(err, ErrDiskFull) && n.waitForSpace() {
		if rerr := n.reclaim(entries); rerr != nil {
			return rerr
		}
		err = save()
	}
	return err
}

// runWriter saves and syncs entries concurrently with the main loop, one write at a time.
func (n *Node) runWriter() {
	for w := range n.writes {
		w.err = n.save(w.hard, w.entries)
		n.written <- w
	}
}

// stopWriter waits for the write under way, so that the disk may be closed, and returns its error.
// A full disk is not reported as an error: nothing was saved and nothing acknowledged.
func (n *Node) stopWriter() error {
	close(n.writes)
	if !n.core.writing {
		return nil
	}
	n.core.writing = false
	if w := <-n.written; !errors.Is(w.err, ErrDiskFull) {
		return w.err
	}
	return nil
}

// awaitWrite waits for the write under way, if there is one.
func (n *Node) awaitWrite() error {
	if !n.core.writing {
		return nil
	}
	return n.finishWrite(<-n.written)
}

// finishWrite reports a write that has ended to the core. On a full disk it repeats the write, as
// persist does.
func (n *Node) finishWrite(w write) error {
	err := n.retryWhenFull(w.err, w.entries, func() error { return n.save(w.hard, w.entries) })
	last := w.entries[len(w.entries)-1]
	if err != nil {
		n.core.writing = false // it has returned, though not succeeded
		return err
	}
	n.core.Persisted(last.Index, last.Term)
	n.checkDiskAfterWrite()
	return nil
}

// diskRetryInterval is the pause between attempts to save on a full disk.
const diskRetryInterval = 100 * time.Millisecond

// waitForSpace pauses and reports whether to try again.
func (n *Node) waitForSpace() bool {
	n.diskFull = true
	n.view.Store(&View{Role: Follower, Term: n.core.term, Config: n.core.log.config().config})
	select {
	case <-n.runDone:
		return false
	case <-time.After(diskRetryInterval):
		return true
	}
}

func (n *Node) persistOnce(rd Ready) error {
	var err error
	if rd.Snapshot != nil {
		err = n.installSnapshot(rd)
	} else {
		err = n.save(rd.HardState, rd.Entries)
	}
	if err == nil && len(rd.Entries) > 0 {
		last := rd.Entries[len(rd.Entries)-1]
		n.core.Persisted(last.Index, last.Term)
		n.checkDiskAfterWrite()
	}
	return err
}

func (n *Node) save(hs *HardState, entries []Entry) error {
	if len(entries) > 0 {
		defer syncSeconds.UpdateDuration(time.Now())
	}
	return n.opts.Disk.Save(hs, entries)
}

func (n *Node) installSnapshot(rd Ready) error {
	n.discardEncoding() // its state is older than the leader's snapshot
	if err := n.opts.Disk.SaveSnapshot(*rd.Snapshot, n.hardState(), rd.Entries); err != nil {
		return err
	}
	if err := n.opts.Machine.Restore(rd.Snapshot.Data); err != nil {
		return Error.New("the leader's snapshot cannot be read by this version (%v); upgrade this replica", err)
	}
	n.applied = rd.Snapshot.Index
	return nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.core.term, Vote: n.core.vote, Commit: n.core.log.committed}
}

// checkDisk looks at the free disk space.
func (n *Node) checkDisk() {
	sizes := n.opts.Disk.Sizes()
	n.checkedSize = sizes.Log
	free, size, ok := n.opts.Disk.Space()
	if !ok {
		size = math.MaxInt64 // unknown; a write that fails tells that the disk is full
	}
	n.diskSize, n.diskFull = size, ok && sizes.full(free, size)
	logBytes.Set(float64(sizes.Log))
	diskFullGauge.Set(boolGauge(n.diskFull))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// checkDiskAfterWrite looks at the free disk space if much was written since the last look. A burst
// of large entries must not use up the space that the next snapshot needs.
func (n *Node) checkDiskAfterWrite() {
	if n.opts.Disk.Sizes().Log >= n.checkedSize+diskCheckBytes {
		n.checkDisk()
	}
}

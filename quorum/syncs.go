package quorum

import "sync/atomic"

// SyncObserver observes what has been synced to disk, so that a test can discard everything else
// as a power failure would.
type SyncObserver interface {
	// File reports that the first size bytes of a file are durable.
	File(path string, size int64)
	// Folder reports that the current directory entries of a folder are durable.
	Folder(dir string)
}

// syncObserver is set only by tests.
var syncObserver atomic.Pointer[SyncObserver]

// ObserveSyncs installs an observer, or removes it if o is nil. Without one, a sync costs one
// additional pointer load.
func ObserveSyncs(o SyncObserver) {
	if o == nil {
		syncObserver.Store(nil)
		return
	}
	syncObserver.Store(&o)
}

func fileSynced(path string, size int64) {
	if o := syncObserver.Load(); o != nil {
		(*o).File(path, size)
	}
}

func folderSynced(dir string) {
	if o := syncObserver.Load(); o != nil {
		(*o).Folder(dir)
	}
}

// spaceOverride is set only by tests.
var spaceOverride atomic.Pointer[func(dir string) (free, size int64)]

// OverrideSpace replaces the free space and the size of all disks, in bytes, so that a test can
// simulate small ones. nil removes the override.
func OverrideSpace(f func(dir string) (free, size int64)) {
	if f == nil {
		spaceOverride.Store(nil)
		return
	}
	spaceOverride.Store(&f)
}

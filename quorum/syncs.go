package quorum

import "sync/atomic"

// SyncWatch observes what has been synced to disk, so that a test can discard everything else as a
// power failure would.
type SyncWatch interface {
	// File reports that the first size bytes of a file are durable.
	File(path string, size int64)
	// Folder reports that the current directory entries of a folder are durable.
	Folder(dir string)
}

// syncWatch is set only by tests.
var syncWatch atomic.Pointer[SyncWatch]

// WatchSyncs installs an observer, or removes it if w is nil. Without one, a sync costs one
// additional pointer load.
func WatchSyncs(w SyncWatch) {
	if w == nil {
		syncWatch.Store(nil)
		return
	}
	syncWatch.Store(&w)
}

func fileSynced(path string, size int64) {
	if w := syncWatch.Load(); w != nil {
		(*w).File(path, size)
	}
}

func folderSynced(dir string) {
	if w := syncWatch.Load(); w != nil {
		(*w).Folder(dir)
	}
}

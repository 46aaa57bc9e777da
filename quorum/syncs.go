package quorum

import "sync/atomic"

// SyncWatch is told what has reached the disk, so that a proof can take away the rest
// as a loss of power would.
type SyncWatch interface {
	// File says that the first size bytes of a file will still be there.
	File(path string, size int64)
	// Folder says that the files that are in a folder now will be.
	Folder(dir string)
}

// syncWatch is set by tests only.
var syncWatch atomic.Pointer[SyncWatch]

// WatchSyncs installs a watch, or removes it with nil. It costs a shipped process one
// load of a pointer per sync.
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

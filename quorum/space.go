package quorum

// A data folder holds one snapshot and the log that follows it. A snapshot is what makes the log
// shorter, and needs space for itself before it frees any. So it is due after a number of bytes, as
// entries can have any size, and changes are refused while it would no longer fit.

const (
	// minLogBytes is the growth of the log up to which no snapshot is made for its size.
	minLogBytes = 8 << 20
	// logPerSnapshot is the growth of the log, in sizes of the latest snapshot, after which the next
	// one is due. Encoding the state then costs a bounded share of writing the log.
	logPerSnapshot = 2
	// logShare and slackShare are the parts of a disk that the growth of the log, and what is
	// written between two looks at the free space, may take.
	logShare   = 8
	slackShare = 16
	// reclaimShare is the part of the log's limit from which on a snapshot is worth its cost on a
	// full disk.
	reclaimShare = 8
)

// Sizes are the sizes of the files in a data folder in bytes.
type Sizes struct {
	Log       int64 // the log file
	LogGrowth int64 // what was appended to it since the latest snapshot
	Snapshot  int64 // the latest snapshot
}

// logLimit returns the growth of the log in bytes after which a snapshot is due on a disk of a size.
func (s Sizes) logLimit(disk int64) int64 {
	return min(max(minLogBytes, logPerSnapshot*s.Snapshot), disk/logShare)
}

// reserve returns the free space in bytes below which changes are refused: what the next snapshot
// needs beside the files that it replaces, and the log until then. The state grows by no more than
// what the log has grown by.
func (s Sizes) reserve(disk int64) int64 {
	return s.Snapshot + max(s.Log, s.logLimit(disk)) + min(minLogBytes, disk/slackShare)
}

// full reports whether a disk has too little free space to accept changes.
func (s Sizes) full(free, disk int64) bool { return free < s.reserve(disk) }

// reclaimable reports whether a snapshot would free space worth its cost.
func (s Sizes) reclaimable(disk int64) bool { return s.LogGrowth >= s.logLimit(disk)/reclaimShare }

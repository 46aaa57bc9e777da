package proof

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// syncedFiles tracks what a loss of power leaves in each folder: the files whose names and
// contents were synced, up to the synced length.
type syncedFiles struct {
	t *testing.T

	mu    sync.Mutex
	sizes map[string]int64 // by path: the synced length of the content
	// names holds the synced length of each file whose name is synced, by folder and name.
	names map[string]map[string]int64
}

func newSyncedFiles(t *testing.T) *syncedFiles {
	return &syncedFiles{t: t, sizes: make(map[string]int64), names: make(map[string]map[string]int64)}
}

// File implements quorum.SyncObserver.
func (f *syncedFiles) File(path string, size int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes[path] = size
	dir, name := filepath.Split(path)
	if kept := f.names[filepath.Clean(dir)]; kept != nil {
		if _, stays := kept[name]; stays {
			kept[name] = size
		}
	}
}

// Folder implements quorum.SyncObserver. A renamed file keeps what was synced under its temporary
// name.
func (f *syncedFiles) Folder(dir string) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return // the folder was removed while its process is stopping
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make(map[string]int64)
	for _, x := range entries {
		path := filepath.Join(dir, x.Name())
		size, synced := f.sizes[path]
		if !synced {
			size = f.sizes[path+temporarySuffix]
		}
		kept[x.Name()] = size
	}
	f.names[filepath.Clean(dir)] = kept
}

// temporarySuffix ends the names of files that are renamed once they are complete.
const temporarySuffix = ".tmp"

// afterPowerLoss returns the contents of the files that a loss of power would leave in a folder
// now.
func (f *syncedFiles) afterPowerLoss(dir string) map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string][]byte)
	for name, size := range f.names[filepath.Clean(dir)] {
		if strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			continue // removed since: whatever replaces it is synced, or it was no longer needed
		}
		out[name] = content[:min(size, int64(len(content)))]
	}
	return out
}

// restore replaces the content of a folder with the given files.
func (f *syncedFiles) restore(dir string, files map[string][]byte) {
	if err := os.RemoveAll(dir); err != nil {
		f.t.Error(err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		f.t.Error(err)
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			f.t.Error(err)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make(map[string]int64)
	for name, content := range files {
		kept[name] = int64(len(content))
		f.sizes[filepath.Join(dir, name)] = int64(len(content))
	}
	f.names[filepath.Clean(dir)] = kept
}

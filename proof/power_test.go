package proof

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// powerBook knows of each folder what a loss of power leaves: the files whose names and
// content were synced, up to the length that was.
type powerBook struct {
	t *testing.T

	mu    sync.Mutex
	sizes map[string]int64            // by path: what was synced of the content
	names map[string]map[string]int64 // by folder and name: of the files that stay
}

func newPowerBook(t *testing.T) *powerBook {
	return &powerBook{t: t, sizes: make(map[string]int64), names: make(map[string]map[string]int64)}
}

// File implements quorum.SyncWatch.
func (b *powerBook) File(path string, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sizes[path] = size
	dir, name := filepath.Split(path)
	if kept := b.names[filepath.Clean(dir)]; kept != nil {
		if _, stays := kept[name]; stays {
			kept[name] = size
		}
	}
}

// Folder implements quorum.SyncWatch. A file that was renamed keeps what was synced
// under its old name.
func (b *powerBook) Folder(dir string) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return // the folder was taken away under a process that ends
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[string]int64)
	for _, x := range entries {
		path := filepath.Join(dir, x.Name())
		size, synced := b.sizes[path]
		if !synced {
			size = b.sizes[path+temporarySuffix]
		}
		kept[x.Name()] = size
	}
	b.names[filepath.Clean(dir)] = kept
}

// temporarySuffix is borne by files that are renamed once they are whole.
const temporarySuffix = ".tmp"

// left returns the files that a loss of power leaves in a folder now.
func (b *powerBook) left(dir string) map[string][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]byte)
	for name, size := range b.names[filepath.Clean(dir)] {
		if strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			continue // removed since; what replaced it is synced, or this would be in the way of nothing
		}
		out[name] = content[:min(size, int64(len(content)))]
	}
	return out
}

// restore makes a folder hold exactly some files.
func (b *powerBook) restore(dir string, files map[string][]byte) {
	if err := os.RemoveAll(dir); err != nil {
		b.t.Error(err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		b.t.Error(err)
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			b.t.Error(err)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[string]int64)
	for name, content := range files {
		kept[name] = int64(len(content))
		b.sizes[filepath.Join(dir, name)] = int64(len(content))
	}
	b.names[filepath.Clean(dir)] = kept
}

package entry

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
)

// ids generates request ids that are unique across entries and restarts of an entry.
type ids struct {
	prefix string
	next   *atomic.Uint64
}

func newIDs(name string) ids {
	return ids{prefix: fmt.Sprintf("%s-%08x-", name, rand.Uint32()), next: new(atomic.Uint64)}
}

func (i ids) make() string { return i.prefix + strconv.FormatUint(i.next.Add(1), 36) }

package entry

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
)

// ids makes request identities that no other entry, and no earlier start of this
// one, uses.
type ids struct {
	prefix string
	next   *atomic.Uint64
}

func newIDs(name string) ids {
	return ids{prefix: fmt.Sprintf("%s-%08x-", name, rand.Uint32()), next: new(atomic.Uint64)}
}

func (i ids) make() string { return i.prefix + strconv.FormatUint(i.next.Add(1), 36) }

package runner

import "sync"

// tokens holds an agent's fencing tokens. One is kept in reserve, so that a worker can be made
// to refuse earlier calls even while the control is unreachable.
type tokens struct {
	mu   sync.Mutex
	last uint64 // of the newest session
	// reserve is higher than all used tokens, or equal to the last one until that is spent; 0
	// for none.
	reserve uint64
}

// current returns the newest session's token.
func (t *tokens) current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// reserved returns the reserve token, 0 for none.
func (t *tokens) reserved() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reserve
}

// setCurrent makes token that of the newest session.
func (t *tokens) setCurrent(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = max(t.last, token)
	if t.reserve < t.last {
		t.reserve = 0
	}
}

// setReserve puts a new token in reserve.
func (t *tokens) setReserve(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token > t.last {
		t.reserve = token
	}
}

// spend records that a call with this token is sent that the successor must not carry out. The
// token can therefore not fence the successor.
func (t *tokens) spend(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserve <= token {
		t.reserve = 0
	}
}

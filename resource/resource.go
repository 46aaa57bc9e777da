// Package resource defines the amounts of processors, memory and accelerators that
// workers offer and tasks need.
package resource

// Vector is an amount of each resource.
type Vector struct {
	MilliCPU     int64 `msgpack:"c" json:"milli_cpu"` // 1000 is one processor
	MemoryMB     int64 `msgpack:"m" json:"memory_mb"`
	Accelerators int64 `msgpack:"a,omitempty" json:"accelerators,omitempty"`
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.MilliCPU + o.MilliCPU, v.MemoryMB + o.MemoryMB, v.Accelerators + o.Accelerators}
}

// Sub returns v - o.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.MilliCPU - o.MilliCPU, v.MemoryMB - o.MemoryMB, v.Accelerators - o.Accelerators}
}

// Negative reports whether any amount is negative.
func (v Vector) Negative() bool { return v.MilliCPU < 0 || v.MemoryMB < 0 || v.Accelerators < 0 }

// Fits reports whether v is at most capacity in every resource.
func (v Vector) Fits(capacity Vector) bool {
	return v.MilliCPU <= capacity.MilliCPU && v.MemoryMB <= capacity.MemoryMB && v.Accelerators <= capacity.Accelerators
}

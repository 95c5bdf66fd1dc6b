package model

import "fmt"

// Resources is an amount of what a worker offers or a task asks for.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu" cbor:"1,keyasint,omitempty"`    // thousandths of a core
	MemoryMiB    int64 `json:"memory_mib" cbor:"2,keyasint,omitempty"`   // mebibytes
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint,omitempty"` // whole devices
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r less o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// FitsIn reports whether r is at most capacity in every component.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryMiB <= capacity.MemoryMiB &&
		r.Accelerators <= capacity.Accelerators
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// HasNegative reports whether any component is below zero.
func (r Resources) HasNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// String formats the amount for logs and error messages.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}

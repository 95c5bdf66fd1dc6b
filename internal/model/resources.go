package model

import "fmt"

// Resources is the capacity of a worker or the demand of a task.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu" cbor:"1,keyasint,omitempty"`    // thousandths of a core
	MemoryMiB    int64 `json:"memory_mib" cbor:"2,keyasint,omitempty"`   // mebibytes
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint,omitempty"` // whole devices
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// FitsIn reports whether no component of r exceeds that of capacity.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryMiB <= capacity.MemoryMiB &&
		r.Accelerators <= capacity.Accelerators
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU: max(r.MilliCPU, o.MilliCPU), MemoryMiB: max(r.MemoryMiB, o.MemoryMiB), Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliCPU: min(r.MilliCPU, o.MilliCPU), MemoryMiB: min(r.MemoryMiB, o.MemoryMiB), Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

func (r Resources) IsZero() bool { return r == Resources{} }

func (r Resources) HasNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// String formats the amount for logs and error messages.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}

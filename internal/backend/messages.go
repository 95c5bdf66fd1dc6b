package backend

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// Methods of the peer protocol that this package serves.
const (
	MethodAcquire  peer.Method = "slots.acquire"
	MethodRelease  peer.Method = "slots.release"
	MethodHandover peer.Method = "slots.handover"
	MethodLeaving  peer.Method = "servers.leaving"
)

// AcquireRequest requests a permit from an owner. Times are durations because the
// clocks of the VMs differ.
type AcquireRequest struct {
	Permit  PermitID        `json:"permit"`
	VM      model.VMID      `json:"vm"`
	Service string          `json:"service"`
	Branch  model.BranchID  `json:"branch"`
	Share   int64           `json:"share"`
	Wait    time.Duration   `json:"wait"`  // maximum wait in the owner's queue; 0: grant a free slot or none
	Lease   time.Duration   `json:"lease"` // after which the owner frees the slot without a release
	Leaving []LeavingServer `json:"leaving,omitempty"`
}

// AcquireResponse is the response to an AcquireRequest with the owner's load.
type AcquireResponse struct {
	Granted bool            `json:"granted"`
	Server  Server          `json:"server"`
	Free    int             `json:"free"`
	Queued  int             `json:"queued"`
	Leaving []LeavingServer `json:"leaving,omitempty"`
}

// ReleaseRequest releases a permit. It is idempotent and may arrive before the
// request for the permit.
type ReleaseRequest struct {
	Permit  PermitID       `json:"permit"`
	Service string         `json:"service"`
	Branch  model.BranchID `json:"branch"`
	Outcome Outcome        `json:"outcome"`
	Held    time.Duration  `json:"held"`
}

// HandoverRequest reports to the new owner of a server how many of its slots are
// still used by permits of the previous owner.
type HandoverRequest struct {
	Service string     `json:"service"`
	Server  ServerID   `json:"server"`
	From    model.VMID `json:"from"`
	Held    int        `json:"held"`
}

// LeavingServer reports that a backend server is leaving and gets no new requests.
// The report expires after Remaining; a VM that forwards it sends the remaining
// validity, so that forwarding never extends it.
type LeavingServer struct {
	ID        ServerID      `json:"id"`
	Remaining time.Duration `json:"remaining"`
}

// LeavingRequest reports the leaving servers that the sender knows.
type LeavingRequest struct {
	Servers []LeavingServer `json:"servers"`
}

// Empty is the result of a call that returns no data.
type Empty struct{}

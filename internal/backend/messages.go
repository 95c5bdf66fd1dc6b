package backend

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// Methods of the inner protocol that this package answers.
const (
	MethodAcquire  peer.Method = "slots.acquire"
	MethodRelease  peer.Method = "slots.release"
	MethodHandover peer.Method = "slots.handover"
	MethodLeaving  peer.Method = "servers.leaving"
)

// AcquireRequest asks an owner for a permit. Times are durations, as the VMs'
// clocks differ.
type AcquireRequest struct {
	Permit  PermitID        `json:"permit"`
	VM      model.VMID      `json:"vm"`
	Service string          `json:"service"`
	Branch  model.BranchID  `json:"branch"`
	Share   int64           `json:"share"`
	Wait    time.Duration   `json:"wait"`  // in the owner's queue; 0: only a free slot
	Lease   time.Duration   `json:"lease"` // after which the slot is free again by itself
	Leaving []LeavingServer `json:"leaving,omitempty"`
}

// AcquireReply answers an AcquireRequest, and tells the owner's load.
type AcquireReply struct {
	Granted bool            `json:"granted"`
	Server  Server          `json:"server"`
	Free    int             `json:"free"`
	Queued  int             `json:"queued"`
	Leaving []LeavingServer `json:"leaving,omitempty"`
}

// ReleaseRequest gives a permit back. It is idempotent and may come before the
// grant's answer.
type ReleaseRequest struct {
	Permit  PermitID       `json:"permit"`
	Service string         `json:"service"`
	Branch  model.BranchID `json:"branch"`
	Outcome Outcome        `json:"outcome"`
	Held    time.Duration  `json:"held"`
}

// HandoverRequest tells a server's new owner how many slots the former owner's
// permits still use.
type HandoverRequest struct {
	Service string     `json:"service"`
	Server  ServerID   `json:"server"`
	From    model.VMID `json:"from"`
	Held    int        `json:"held"`
}

// LeavingServer is a backend server that gets nothing new. The word of it ends
// after Remaining, so that passing it on never prolongs it.
type LeavingServer struct {
	ID        ServerID      `json:"id"`
	Remaining time.Duration `json:"remaining"`
}

// LeavingRequest passes on which servers are leaving.
type LeavingRequest struct {
	Servers []LeavingServer `json:"servers"`
}

// Empty answers a call without a result.
type Empty struct{}

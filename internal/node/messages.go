package node

import (
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// Methods between VMs.
const (
	methodAttach        peer.Method = "node.attach" // a follower's long poll at the owner
	methodState         peer.Method = "node.state"
	methodCommit        peer.Method = "node.commit" // a store write for a VM that the store turns away
	methodAdvise        peer.Method = "node.advise"
	methodNotify        peer.Method = "node.notify" // what a VM has just stored, ahead of the owner's watch
	methodOwner         peer.Method = "node.owner"  // which owner a VM knows
	methodStepDown      peer.Method = "node.end"    // a successor asks whether this VM still decides
	methodTakeoverCheck peer.Method = "node.offer"  // an owner that the store does not answer asks who could take over
	methodTakeover      peer.Method = "node.take"   // it has ended, and the VM is to replace it
)

type attachRequest struct {
	Name          string        `json:"name"`
	Address       string        `json:"address"`
	Configuration int64         `json:"configuration"` // version in force there
	ElectionDelay time.Duration `json:"rank"`          // how long it stands back in an election
}

type attachResponse struct {
	Fence         int64          `json:"fence"`
	Configuration []byte         `json:"configuration,omitempty"` // as the operators wrote it; only if newer
	QueueLengths  map[string]int `json:"waiting"`
	Peers         []string       `json:"peers"`
}

type stateRequest struct {
	ID         fleet.JobID `json:"id"`
	AllowStale bool        `json:"stale"` // an owner may answer whose lease is not surely held
}

type stateResponse struct {
	State fleet.State `json:"state"`
}

type commitRequest struct {
	Txn fleet.Txn `json:"txn"`
}

type commitResponse struct {
	Revision int64  `json:"revision"`
	Conflict bool   `json:"conflict"`
	NotRun   bool   `json:"not_run"`
	Error    string `json:"failure,omitempty"`
}

type adviseRequest struct {
	Step    fleet.StepID     `json:"step"`
	Workers []model.WorkerID `json:"workers"`
}

type adviseResponse struct {
	Allowed  map[model.WorkerID]string `json:"allowed"`
	Validity time.Duration             `json:"validity"`
	Error    string                    `json:"failure,omitempty"`
}

// notifyRequest carries an item of the intake.
type notifyRequest struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

type ownerResponse struct {
	Address string `json:"address"`
	Fence   int64  `json:"fence"`
}

// endRequest asks a VM to end as an owner with a lower fencing token.
type stepDownRequest struct {
	Fence int64 `json:"fence"`
}

type stepDownResponse struct {
	Incarnation string `json:"incarnation"` // of the process that answers
	Stopped     bool   `json:"ended"`       // it decides nothing under a lower token
}

// offerRequest names an owner by its fencing token, which is the revision of its key.
type takeoverRequest struct {
	Fence int64 `json:"fence"`
}

type takeoverCheckResponse struct {
	CanTakeOver   bool          `json:"able"` // the store answers and has the owner's key
	ElectionDelay time.Duration `json:"rank"`
}

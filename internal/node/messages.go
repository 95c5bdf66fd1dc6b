package node

import (
	"time"

	"filbertcross/internal/admission"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// Methods of the calls between VMs.
const (
	methodAttach        peer.Method = "node.attach" // long poll of the owner by a follower
	methodState         peer.Method = "node.state"
	methodCommit        peer.Method = "node.commit" // store write on behalf of a VM whose calls the store rejects
	methodAdvise        peer.Method = "node.advise"
	methodNotify        peer.Method = "node.notify" // intake item that a VM has just stored, ahead of the owner's watch
	methodOwner         peer.Method = "node.owner"  // queries which owner a VM knows
	methodStepDown      peer.Method = "node.end"    // a successor requests that this VM steps down as the owner
	methodTakeoverCheck peer.Method = "node.offer"  // an owner that the store does not answer queries whether this VM could take over
	methodTakeover      peer.Method = "node.take"   // that owner has ended and requests the takeover
	methodConfiguration peer.Method = "node.config" // transfer.Request of the operators' configuration
)

type attachRequest struct {
	Name          string        `json:"name"`
	Address       string        `json:"address"`
	Configuration int64         `json:"configuration"` // version that the follower has or knows of; -1: respond at once
	AcceptsChunks bool          `json:"chunks"`        // the follower fetches the configuration; false: an earlier release, which expects it in the response
	ElectionDelay time.Duration `json:"rank"`          // how long the follower waits before it campaigns
	// JudgesAge is set by a follower that decides by ConfigurationAge whether to rely on the owner.
	JudgesAge bool `json:"judges_age,omitempty"`
	// AcceptsSuspended is set by a follower that stays with a suspended owner, see attachResponse.
	AcceptsSuspended bool `json:"suspended,omitempty"`
	// Arrivals are the submissions that arrived at the follower since its last poll.
	Arrivals map[admission.Stream]int `json:"arrivals,omitempty"`
}

type attachResponse struct {
	Fence         int64  `json:"fence"`
	Configuration []byte `json:"configuration,omitempty"` // as the operators wrote it, if newer than the follower's; only for followers of earlier releases
	// ConfigurationVersion is the owner's active version; 0: none. The owner has it and all
	// entries of operators up to OperatorRevision of the store.
	ConfigurationVersion int64 `json:"version,omitempty"`
	OperatorRevision     int64 `json:"revision,omitempty"`
	// ConfigurationAge is the time since the owner last knew that this version was the newest; 0: not
	// said by an earlier release. Held is how long the owner held the poll before it determined both.
	ConfigurationAge time.Duration `json:"age,omitempty"`
	Held             time.Duration `json:"held,omitempty"`

	// Suspended is set while the owner cannot be sure that it still holds its lease. The follower stays
	// with it unless another VM may be elected.
	Suspended bool `json:"suspended,omitempty"`

	QueueLengths map[string]int `json:"waiting"`
	Peers        []string       `json:"peers"`
	// Limits are the follower's parts of the limits of streams.
	Limits map[admission.Stream]admission.Limit `json:"limits,omitempty"`
	// Room is the follower's part of the memory that the owner has left for submissions; nil: not said by an
	// earlier release.
	Room *admission.Room `json:"room,omitempty"`
}

type stateRequest struct {
	ID         fleet.JobID `json:"id"`
	AllowStale bool        `json:"stale"` // an owner whose lease may have expired may respond, too
}

type stateResponse struct {
	State   fleet.State `json:"state"`
	Account string      `json:"account,omitempty"`
	Cause   string      `json:"cause,omitempty"`
}

type commitRequest struct {
	Txn fleet.Txn `json:"txn"`
}

type commitResponse struct {
	Revision int64        `json:"revision"`
	Conflict bool         `json:"conflict"`
	Current  []fleet.Item `json:"current,omitempty"` // of the keys whose conditions were not met
	NotRun   bool         `json:"not_run"`
	Error    string       `json:"failure,omitempty"`
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

// notifyRequest carries an intake item.
type notifyRequest struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

type ownerResponse struct {
	Address string `json:"address"`
	Fence   int64  `json:"fence"`
}

// stepDownRequest requests that a VM steps down if it is an owner with a lower fencing token.
type stepDownRequest struct {
	Fence int64 `json:"fence"`
}

type stepDownResponse struct {
	Incarnation string `json:"incarnation"` // of the process that responds
	Stopped     bool   `json:"ended"`       // the process makes no decisions under a lower fencing token
}

// takeoverRequest names an owner by the revision of its key.
type takeoverRequest struct {
	KeyRevision int64 `json:"fence"`
}

type takeoverCheckResponse struct {
	CanTakeOver   bool          `json:"able"` // the store answers this VM and has the key of that owner
	ElectionDelay time.Duration `json:"rank"`
}

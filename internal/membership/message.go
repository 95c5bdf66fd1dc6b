package membership

import (
	"encoding/json"

	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// The peer methods of this package.
const (
	methodHeartbeat peer.Method = "membership.heartbeat"
	methodProbe     peer.Method = "membership.probe"
)

// heartbeat is both the request and the response. Its JSON names are short because
// heartbeats are most of the traffic between idle VMs.
type heartbeat struct {
	From         model.VMID `json:"f"`
	Identity     *identity  `json:"i,omitempty"` // while the receiver has not acknowledged any digest of the sender
	PeerSilent   bool       `json:"u,omitempty"` // the sender has received nothing from the receiver for the suspect time
	Leaving      bool       `json:"l,omitempty"`
	AckedVersion version    `json:"h,omitempty"` // version of the receiver's digest that the sender has
	Delta        []byte     `json:"d,omitempty"` // a digestDelta in CBOR, a third of its size in JSON
}

// probeRequest makes the receiver send a heartbeat to the VM at the address.
type probeRequest struct {
	Address string `json:"a"`
}

// probeResponse is the result of the heartbeat sent for a probeRequest.
type probeResponse struct {
	Reached bool `json:"r"`
	Refused bool `json:"x,omitempty"` // no process listens at the address
}

// decode parses the parameters of a call; the error is one of the peer protocol.
func decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
	}
	return v, nil
}

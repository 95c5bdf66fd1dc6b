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

// heartbeat is sent and answered alike; its field names are short because it makes
// up most of the traffic between idle VMs.
type heartbeat struct {
	From         model.VMID `json:"f"`
	Identity     *identity  `json:"i,omitempty"` // while the receiver holds no digest of the sender
	PeerSilent   bool       `json:"u,omitempty"` // the sender has not heard the receiver lately
	Leaving      bool       `json:"l,omitempty"`
	AckedVersion version    `json:"h,omitempty"` // of the receiver's digest that the sender holds
	Delta        []byte     `json:"d,omitempty"` // a digestDelta in CBOR, which is a third of its JSON
}

// probeRequest asks a VM to send a heartbeat to another one.
type probeRequest struct {
	Address string `json:"a"`
}

// probeAnswer tells what came of it.
type probeResponse struct {
	Reached bool `json:"r"`
	Refused bool `json:"x,omitempty"` // nobody listens at the address
}

// decode reads a handler's message.
func decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
	}
	return v, nil
}

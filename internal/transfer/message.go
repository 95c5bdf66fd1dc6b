package transfer

// Request requests the next chunk of a transfer.
type Request struct {
	Base     int64  `json:"base"`               // version that the receiver has; 0: none
	Version  int64  `json:"version,omitempty"`  // of the transfer in progress; 0: a new transfer of the newest version
	Offset   int    `json:"offset,omitempty"`   // bytes of the encoding that the receiver has
	Checksum uint32 `json:"checksum,omitempty"` // of the encoding in progress
	MaxBytes int    `json:"max_bytes"`          // limit of the chunk's data
}

// Chunk is a part of the encoding of a version. A sender that cannot continue the requested
// transfer responds with the first chunk of another one.
type Chunk struct {
	Base     int64  `json:"base"` // version to which the encoding is relative; 0: none
	Version  int64  `json:"version"`
	Offset   int    `json:"offset"`
	Size     int    `json:"size"`     // of the complete encoding in bytes
	Checksum uint32 `json:"checksum"` // of the complete encoding (CRC-32, Castagnoli)
	Data     []byte `json:"data"`
}

package ingress

// Limits are what the clients of one listener may use at once.
type Limits struct {
	Connections    int64
	ArrivalMemory  int64 // bytes for heads and bodies that arrive, besides connectionCost for each connection
	DecodingMemory int64 // bytes for the decoded forms of complete requests
}

// Shares of a machine for the clients of the callers' API, and the cost of a connection.
const (
	memoryDivisor   = 4   // of the memory; the rest is for the owner, the store, the peers and garbage
	socketDivisor   = 2   // of the sockets; the rest is for workers, the store and the peers
	idleDivisor     = 2   // of the clients' memory for connections; the rest is for requests
	decodingDivisor = 2   // of the memory for requests; the rest is for those that arrive
	fileDescriptors = 200 // of a process that are reserved for files

	// minRequestMemory in bytes suffices for two requests with a body of 256 KiB.
	minRequestMemory = 12 << 20
	minConnections   = 16

	receiveBuffer  = 32 << 10               // bytes that the kernel holds for a connection and that are not read yet
	connectionCost = receiveBuffer + 16<<10 // bytes, with the buffers and the goroutine of the server
)

// LimitsFor returns the limits of the callers' API on a machine with the given memory in bytes and
// number of file descriptors.
func LimitsFor(memory, descriptors int64) Limits {
	share := memory / memoryDivisor
	connections := min((descriptors-fileDescriptors)/socketDivisor, share/idleDivisor/connectionCost)
	connections = max(connections, minConnections)
	requests := max(share-connections*connectionCost, minRequestMemory)
	return Limits{Connections: connections, ArrivalMemory: requests - requests/decodingDivisor, DecodingMemory: requests / decodingDivisor}
}

// AuxiliaryLimits returns the limits of a listener that clients are not meant to reach, such as that
// of the readiness checks.
func AuxiliaryLimits() Limits {
	return Limits{Connections: 24, ArrivalMemory: 1 << 20, DecodingMemory: 1 << 20}
}

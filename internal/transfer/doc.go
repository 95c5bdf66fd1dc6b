// Package transfer copies the newest version of a document from one VM to another in compressed
// chunks. A version is encoded relative to the version that the receiver has, if the sender still
// holds that. The receiver requests one chunk at a time and resumes after a failed request, so that
// the time limit of a request does not depend on the size of the document. The package does no I/O.
package transfer

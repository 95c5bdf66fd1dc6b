// Package storehealth determines from the calls to the platform's store whether it answers this
// VM, and keeps writes from being sent while it does not.
//
// A write that gets no response may have been executed, so its caller can be told neither that it
// is stored nor that it is not. Detector therefore suspects the store after a few times its usual
// latency without a response. Until a probe is answered, writes are held back; they are rejected
// once the store counts as unavailable. Nothing of a write that was held back has been sent.
package storehealth

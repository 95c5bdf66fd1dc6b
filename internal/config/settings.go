package config

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"filbertcross/internal/model"
)

// Settings are the settings with which a VM is started. They do not change while it
// runs.
type Settings struct {
	Name             string              `json:"name"`           // of the VM; the VM's id adds a part that is unique to each start
	FailureDomain    model.FailureDomain `json:"failure_domain"` // of this VM
	HTTPAddress      string              `json:"http_address"`   // for callers and operators, host:port
	PeerAddress      string              `json:"peer_address"`   // for other VMs, host:port
	PeerAdvertise    string              `json:"peer_advertise"` // at which other VMs reach the peer link, host:port; empty: PeerAddress
	StoreURL         string              `json:"store_url"`
	VMListURL        string              `json:"vm_list_url"`
	StoreTimeout     time.Duration       `json:"store_timeout"`      // timeout of one call to the store
	StoreWrites      int                 `json:"store_writes"`       // writes per second of all VMs together
	ListInterval     time.Duration       `json:"list_interval"`      // between reads of the platform's VM list
	WorkerTimeout    time.Duration       `json:"worker_timeout"`     // timeout of one call to a worker
	WorkerInterval   time.Duration       `json:"worker_interval"`    // between polls of a worker
	Heartbeat        time.Duration       `json:"heartbeat"`          // interval between heartbeats to another VM
	LeaseLead        time.Duration       `json:"lease_lead"`         // how long task leases outlast the store's last confirmation
	DriftMargin      time.Duration       `json:"drift_margin"`       // against clock drift; added to the lead before a task is placed again without other proof that it is not running
	KeyPartitions    int                 `json:"key_partitions"`     // partitions of the idempotency keys
	DefaultDeadline  time.Duration       `json:"default_deadline"`   // deadline of a request that sets none
	MaxDeadline      time.Duration       `json:"max_deadline"`       // maximum of any request's deadline
	MaxBody          int64               `json:"max_body"`           // maximum bytes of a request's or response's body
	MaxQueueRequests int                 `json:"max_queue_requests"` // maximum number of requests that wait for a slot on this VM
	MaxQueueBytes    int64               `json:"max_queue_bytes"`    // maximum bytes of the waiting requests' bodies
	EventRing        int                 `json:"event_ring"`         // number of events retained for the timeline
	DrainDelay       time.Duration       `json:"drain_delay"`        // between reporting not ready and rejecting requests; lets the load balancer stop sending
	DrainTimeout     time.Duration       `json:"drain_timeout"`      // maximum duration of a step of a graceful shutdown
	LogLevel         string              `json:"log_level"`          // debug, info, warn or error
}

// Default returns the default settings. FailureDomain has no default.
func Default() Settings {
	return Settings{
		Name:             "vm",
		HTTPAddress:      "127.0.0.1:8080",
		PeerAddress:      "127.0.0.1:8081",
		StoreURL:         "http://127.0.0.1:9100",
		VMListURL:        "http://127.0.0.1:9101",
		StoreTimeout:     2 * time.Second,
		StoreWrites:      300,
		ListInterval:     time.Second,
		WorkerTimeout:    2 * time.Second,
		WorkerInterval:   time.Second,
		Heartbeat:        300 * time.Millisecond,
		LeaseLead:        30 * time.Second,
		DriftMargin:      time.Second,
		KeyPartitions:    9,
		DefaultDeadline:  5 * time.Second,
		MaxDeadline:      time.Minute,
		MaxBody:          1 << 20,
		MaxQueueRequests: 4096,
		MaxQueueBytes:    64 << 20,
		EventRing:        4096,
		DrainDelay:       2 * time.Second,
		DrainTimeout:     30 * time.Second,
		LogLevel:         "info",
	}
}

// Problem is an invalid setting.
type Problem struct {
	Flag   string // name of the flag, with leading dashes
	Detail string
}

// Problems holds all invalid settings. It is the error type of Validate.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Flag + ": " + problem.Detail
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// Validate returns nil, or Problems with all invalid settings.
func (s Settings) Validate() error {
	v := validator{}
	v.require("--name", s.Name != "", "is empty")
	v.require("--failure-domain", s.FailureDomain != "", "is empty; name the failure domain of this VM")
	v.requireAddress("--http-address", s.HTTPAddress)
	v.requireAddress("--peer-address", s.PeerAddress)
	if s.PeerAdvertise != "" {
		v.requireAddress("--peer-advertise", s.PeerAdvertise)
	}
	v.requireURL("--store-url", s.StoreURL)
	v.requireURL("--vm-list-url", s.VMListURL)
	v.requireBetween("--store-timeout", s.StoreTimeout, 10*time.Millisecond, time.Minute)
	v.requireBetween("--list-interval", s.ListInterval, 50*time.Millisecond, time.Minute)
	v.requireBetween("--worker-timeout", s.WorkerTimeout, 10*time.Millisecond, time.Minute)
	v.requireBetween("--worker-interval", s.WorkerInterval, 50*time.Millisecond, time.Minute)
	v.requireBetween("--heartbeat", s.Heartbeat, 20*time.Millisecond, 10*time.Second)
	v.requireBetween("--lease-lead", s.LeaseLead, time.Second, time.Hour)
	v.requireBetween("--drift-margin", s.DriftMargin, 0, time.Minute)
	v.requireBetween("--default-deadline", s.DefaultDeadline, time.Millisecond, s.MaxDeadline)
	v.requireBetween("--drain-delay", s.DrainDelay, 0, time.Minute)
	v.requireBetween("--drain-timeout", s.DrainTimeout, 0, time.Hour)
	v.require("--lease-lead", s.LeaseLead > 2*s.WorkerInterval, "must be more than twice --worker-interval; otherwise leases expire between polls")
	v.requirePositive("--store-writes", int64(s.StoreWrites))
	v.requirePositive("--key-partitions", int64(s.KeyPartitions))
	v.requirePositive("--max-body", s.MaxBody)
	v.requirePositive("--max-queue-requests", int64(s.MaxQueueRequests))
	v.requirePositive("--max-queue-bytes", s.MaxQueueBytes)
	v.requirePositive("--event-ring", int64(s.EventRing))
	_, known := verbosityByLevel[s.LogLevel]
	v.require("--log-level", known, fmt.Sprintf("%q is not debug, info, warn or error", s.LogLevel))
	if len(v.problems) > 0 {
		return v.problems
	}
	return nil
}

var verbosityByLevel = map[string]int{"debug": 1, "info": 0, "warn": 0, "error": 0}

// Verbosity returns the logr verbosity for LogLevel.
func (s Settings) Verbosity() int { return verbosityByLevel[s.LogLevel] }

type validator struct {
	problems Problems
}

func (v *validator) require(flag string, ok bool, detail string) {
	if !ok {
		v.problems = append(v.problems, Problem{Flag: flag, Detail: detail})
	}
}

func (v *validator) requireAddress(flag, address string) {
	host, _, err := net.SplitHostPort(address)
	v.require(flag, err == nil && host != "", fmt.Sprintf("%q is not host:port; other processes connect to this address", address))
}

func (v *validator) requireURL(flag, text string) {
	u, err := url.Parse(text)
	v.require(flag, err == nil && u.Scheme == "http" && u.Host != "", fmt.Sprintf("%q is not an http URL", text))
}

func (v *validator) requireBetween(flag string, value, low, high time.Duration) {
	v.require(flag, value >= low && value <= high, fmt.Sprintf("%v is not between %v and %v", value, low, high))
}

func (v *validator) requirePositive(flag string, value int64) {
	v.require(flag, value > 0, fmt.Sprintf("%d is not positive", value))
}

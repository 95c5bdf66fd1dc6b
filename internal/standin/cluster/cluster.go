package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/standin"
)

// Capacities of the stand-ins and their placement in racks and failure domains.
const (
	BackendSlots       = 8  // of each backend server
	backendConnections = 64 // of each backend server
	workersPerRack     = 2
	backendsPerDomain  = 2
)

// WorkerCapacity is the capacity of every simulated worker.
var WorkerCapacity = model.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10}

// Options configures a Cluster.
type Options struct {
	BinDir           string // directory of the filbertcross and standin binaries
	VMs              int    // number of VMs, each in its own failure domain
	WorkersPerDomain int
	UseRelays        bool     // put a Relay in front of every VM's peer address and its store
	VMFlags          []string // additional command line flags of every VM
	WorkerFlags      []string // additional command line flags of every worker process
}

// Cluster is a set of stand-in and VM processes on loopback.
type Cluster struct {
	Processes *Processes
	StoreURL  string
	ListURL   string
	VMs       []*VM
	Workers   []string // host:port
	Backends  []string // host:port

	options Options
}

// VM is an entry VM; it may be started several times, always at the same addresses.
type VM struct {
	Name              string
	FailureDomain     string
	HTTPAddress       string // host:port
	PeerRelay         *Relay // nil: not relayed
	StoreRelay        *Relay // nil: not relayed
	peerListenAddress string
	args              []string
	startCount        int
	processName       string // name of the last started process
}

// Start starts the stand-ins and registers the VMs, which StartVM starts. After an
// error the returned cluster, unless nil, has processes that the caller must kill.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	procs, err := NewProcesses()
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"filbertcross", "standin"} {
		if _, err := os.Stat(filepath.Join(opts.BinDir, name)); err != nil {
			return nil, errors.Wrap(err, "binary missing, run make build")
		}
	}
	c := &Cluster{Processes: procs, options: opts}
	if err := c.startPlatform(ctx); err != nil {
		return c, err
	}
	for i := range opts.VMs {
		if err := c.startDomain(domainName(i)); err != nil {
			return c, err
		}
		if err := c.prepareVM(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	addresses, err := FreeAddresses(2)
	if err != nil {
		return err
	}
	c.StoreURL, c.ListURL = "http://"+addresses[0], "http://"+addresses[1]
	if err := c.Processes.Start("platform", c.binaryPath("standin"), "platform", "--store", addresses[0], "--list", addresses[1]); err != nil {
		return err
	}
	return WaitFor(ctx, "the platform", func() bool { return GetJSON(c.ListURL+"/v1/vms", nil) == nil })
}

func (c *Cluster) binaryPath(name string) string { return filepath.Join(c.options.BinDir, name) }

// startDomain registers and starts the workers and backend servers of a failure domain.
func (c *Cluster) startDomain(domain string) error {
	addresses, err := FreeAddresses(c.options.WorkersPerDomain + backendsPerDomain)
	if err != nil {
		return err
	}
	workers, backends := addresses[:c.options.WorkersPerDomain], addresses[c.options.WorkersPerDomain:]
	workerArgs := append([]string{"workers"}, c.options.WorkerFlags...)
	for n, address := range workers {
		id := fmt.Sprintf("worker-%s-%d", domain, n)
		workerArgs = append(workerArgs, "--worker", id+"="+address)
		vm := platform.VM{ID: id, Role: platform.RoleWorker, Address: address, Capacity: WorkerCapacity}
		if err := c.RegisterVM(vm, domain, fmt.Sprintf("%s-rack-%d", domain, n/workersPerRack)); err != nil {
			return err
		}
	}
	backendArgs := []string{"backends"}
	for n, address := range backends {
		backendArgs = append(backendArgs, "--backend", backendName(domain, n)+"="+address)
		c.Backends = append(c.Backends, address)
		if err := c.RegisterBackend(len(c.Backends)-1, false); err != nil {
			return err
		}
	}
	c.Workers = append(c.Workers, workers...)
	if err := c.Processes.Start("workers-"+domain, c.binaryPath("standin"), workerArgs...); err != nil {
		return err
	}
	return c.Processes.Start("backends-"+domain, c.binaryPath("standin"), backendArgs...)
}

// WorkersOf returns the addresses of a failure domain's workers.
func (c *Cluster) WorkersOf(domain string) []string {
	for i := range c.options.VMs {
		if domainName(i) == domain {
			return c.Workers[i*c.options.WorkersPerDomain : (i+1)*c.options.WorkersPerDomain]
		}
	}
	return nil
}

// RegisterBackend adds or replaces a backend server in the platform's list; leaving marks
// it as about to be removed.
func (c *Cluster) RegisterBackend(index int, leaving bool) error {
	domain := domainName(index / backendsPerDomain)
	vm := platform.VM{
		ID: backendName(domain, index%backendsPerDomain), Role: platform.RoleBackend, Address: c.Backends[index],
		Service: "zalibook", Slots: BackendSlots, Connections: backendConnections, Leaving: leaving,
	}
	return c.RegisterVM(vm, domain, fmt.Sprintf("%s-rack-%d", domain, index%backendsPerDomain))
}

func domainName(index int) string { return fmt.Sprintf("bg-south-%d", index+1) }

func backendName(domain string, n int) string { return fmt.Sprintf("backend-%s-%d", domain, n) }

// RegisterVM adds or replaces a VM in the platform's list.
func (c *Cluster) RegisterVM(vm platform.VM, domain, rack string) error {
	vm.FailureDomain = model.FailureDomain(domain)
	vm.Rack = rack
	return PutJSON(c.ListURL+"/v1/vms/"+vm.ID, vm)
}

// prepareVM chooses a VM's addresses, starts its relays and registers it.
func (c *Cluster) prepareVM(i int) error {
	addresses, err := FreeAddresses(2)
	if err != nil {
		return err
	}
	vm := &VM{Name: fmt.Sprintf("vm-%d", i+1), FailureDomain: domainName(i), HTTPAddress: addresses[0], peerListenAddress: addresses[1]}
	advertised, storeURL := vm.peerListenAddress, c.StoreURL
	if c.options.UseRelays {
		if vm.PeerRelay, err = NewRelay(vm.peerListenAddress); err != nil {
			return err
		}
		if vm.StoreRelay, err = NewRelay(strings.TrimPrefix(c.StoreURL, "http://")); err != nil {
			return err
		}
		advertised, storeURL = vm.PeerRelay.Address(), "http://"+vm.StoreRelay.Address()
	}
	vm.args = append([]string{
		"serve", "--name", vm.Name, "--failure-domain", vm.FailureDomain,
		"--http-address", vm.HTTPAddress, "--peer-address", vm.peerListenAddress, "--peer-advertise", advertised,
		"--store-url", storeURL, "--vm-list-url", c.ListURL,
	}, c.options.VMFlags...)
	c.VMs = append(c.VMs, vm)
	return c.RegisterVM(platform.VM{ID: vm.Name, Role: platform.RoleEntry, Address: advertised}, vm.FailureDomain, "")
}

// StartVM starts the VM's process under a new process name.
func (c *Cluster) StartVM(vm *VM) error {
	vm.startCount++
	vm.processName = fmt.Sprintf("%s-start-%d", vm.Name, vm.startCount)
	return c.Processes.Start(vm.processName, c.binaryPath("filbertcross"), vm.args...)
}

// ProcessName returns the name of the VM's last started process.
func (vm *VM) ProcessName() string { return vm.processName }

// URL returns the base URL of the VM's HTTP interface.
func (vm *VM) URL() string { return "http://" + vm.HTTPAddress }

// Client returns an API client that sends its requests to the VM.
func (vm *VM) Client() *api.Client { return api.NewClient(vm.URL()) }

// TaskRuns returns all task runs that the workers recorded.
func (c *Cluster) TaskRuns() ([]standin.TaskRun, error) {
	var runs []standin.TaskRun
	for _, address := range c.Workers {
		var workerRuns []standin.TaskRun
		if err := GetJSON("http://"+address+"/history", &workerRuns); err != nil {
			return nil, err
		}
		runs = append(runs, workerRuns...)
	}
	return runs, nil
}

// BookingRuns returns how often each booking ran, and the maximum number of concurrent
// requests of any backend server, as counted by the backend servers.
func (c *Cluster) BookingRuns() (ran map[string]int, peak int, err error) {
	ran = map[string]int{}
	for _, address := range c.Backends {
		var counts standin.BackendCounts
		if err := GetJSON("http://"+address+"/counts", &counts); err != nil {
			return nil, 0, err
		}
		peak = max(peak, counts.PeakSlots)
		for booking, n := range counts.Bookings {
			ran[booking] += n
		}
	}
	return ran, peak, nil
}

const (
	waitPollInterval = 50 * time.Millisecond
	waitTimeout      = 40 * time.Second
)

// WaitFor polls until the condition holds, for at most waitTimeout. The error names what.
func WaitFor(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Newf("timed out waiting for %s", what)
		case <-time.After(waitPollInterval):
		}
	}
	return nil
}

var httpClient = &http.Client{Timeout: 5 * time.Second}

// GetJSON sends a GET request and decodes the JSON response unless into is nil. It
// returns an error for every status but 200.
func GetJSON(url string, into any) error {
	resp, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", url, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// PutJSON sends a PUT request with a JSON body. It returns an error for every status but 2xx.
func PutJSON(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return errors.Newf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"filbertcross/internal/api"
	"filbertcross/internal/config"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/standin"
	"filbertcross/internal/standin/cluster"
	"filbertcross/internal/verdict"
)

const testSheet = `branch,workload,kind,share,priority,deadline,tasks,cpus,memory,accelerators,runtime,service
sofia,availability,interactive,1,urgent,,,,,,,zalibook
sofia,rebuild,batch,1,high,10m,2,2,1GiB,,1s,
sofia,huge,batch,1,high,10m,1,2000,1GiB,,1s,
`

// testVM is a VM that runs in the test process against stand-ins of its dependencies.
type testVM struct {
	url       string
	client    *api.Client
	store     *standin.Store
	backend   *standin.Backend
	worker    *standin.Worker
	stop      func() error
	runResult chan error // what Run returned
}

func startHTTPServer(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

func startVM(t *testing.T) *testVM {
	t.Helper()
	vm := &testVM{
		store:   standin.NewStore(0, 0),
		backend: standin.NewBackend(standin.BackendOptions{ID: "backend-1", Slots: 8}),
		worker: standin.NewWorker(standin.WorkerOptions{
			ID: "worker-1", Capacity: model.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10}, DefaultRuntime: 50 * time.Millisecond,
		}),
	}
	list := standin.NewVMList(0)
	settings := config.Default()
	settings.Name, settings.FailureDomain = "vm", "bg-south-1"
	addresses, err := cluster.FreeAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	settings.HTTPAddress, settings.PeerAddress = addresses[0], addresses[1]
	settings.StoreURL = startHTTPServer(t, vm.store.Handler()).URL
	settings.VMListURL = startHTTPServer(t, list.Handler()).URL
	settings.ListInterval, settings.WorkerInterval = 50*time.Millisecond, 50*time.Millisecond
	settings.DrainDelay = 0
	settings.MaxBody = 64 << 10
	for _, row := range []platform.VM{
		{ID: "vm", Role: platform.RoleEntry, Address: settings.PeerAddress},
		{ID: "worker-1", Role: platform.RoleWorker, Address: hostOf(startHTTPServer(t, vm.worker.Handler())), Capacity: model.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10}},
		{ID: "backend-1", Role: platform.RoleBackend, Address: hostOf(startHTTPServer(t, vm.backend.Handler())), Service: "zalibook", Slots: 8, Connections: 64},
	} {
		row.FailureDomain = "bg-south-1"
		list.Put(row)
	}
	server, err := Build(settings, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm.runResult = make(chan error, 1)
	go func() { vm.runResult <- server.Run(ctx) }()
	vm.stop = func() error {
		cancel()
		return <-vm.runResult
	}
	vm.url = "http://" + settings.HTTPAddress
	vm.client = api.NewClient(vm.url)
	return vm
}

func hostOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (vm *testVM) waitReady(t *testing.T) {
	t.Helper()
	vm.eventually(t, "the sheet to be accepted", func() bool {
		_, err := vm.client.ApplySheet(context.Background(), 0, []byte(testSheet), "")
		return err == nil
	})
	vm.eventually(t, "the VM to be ready", func() bool {
		_, err := vm.client.GetBody(context.Background(), "/readyz")
		return err == nil
	})
}

// eventually polls until the condition holds and fails the test if the VM stops. It has no
// timeout of its own; go test's timeout applies.
func (vm *testVM) eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case err := <-vm.runResult:
			t.Fatalf("VM stopped while the test waited for %s: %v", what, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestInvalidInputNamesFieldAndChangesNothing sends invalid client and operator requests
// and checks the reported field and that jobs, sheet and backend counts do not change.
func TestInvalidInputNamesFieldAndChangesNothing(t *testing.T) {
	vm := startVM(t)
	vm.waitReady(t)
	ctx := context.Background()
	if _, err := vm.client.SubmitJob(ctx, api.SubmitJobRequest{Branch: "sofia", Workload: "rebuild"}, "monday"); err != nil {
		t.Fatal(err)
	}
	ran := vm.backend.Counts().Ran
	service := "/v1/branches/sofia/services/zalibook/bookings"
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		field                    string
	}{
		{name: "unknown branch of a request", method: "GET", path: "/v1/branches/varna/services/zalibook/x", status: 404, field: "branch"},
		{name: "unknown service", method: "GET", path: "/v1/branches/sofia/services/other/x", status: 404, field: "service"},
		{name: "malformed deadline", method: "GET", path: service, header: map[string]string{"Filbertcross-Deadline": "soon"}, status: 400, field: "Filbertcross-Deadline"},
		{name: "oversized body", method: "POST", path: service, body: strings.Repeat("x", 65<<10), status: 413, field: "Content-Length"},
		{name: "unknown branch of a job", method: "POST", path: "/v1/jobs", body: `{"branch":"varna","workload":"rebuild"}`, status: 404, field: "branch"},
		{name: "unknown workload", method: "POST", path: "/v1/jobs", body: `{"branch":"sofia","workload":"other"}`, status: 404, field: "workload"},
		{name: "interactive workload as a job", method: "POST", path: "/v1/jobs", body: `{"branch":"sofia","workload":"availability"}`, status: 400, field: "workload"},
		{name: "misspelt field", method: "POST", path: "/v1/jobs", body: `{"branch":"sofia","work":"rebuild"}`, status: 400, field: "body"},
		{name: "deadline in the past", method: "POST", path: "/v1/jobs", body: `{"branch":"sofia","workload":"rebuild","deadline":"2020-01-01T00:00:00Z"}`, status: 400, field: "deadline"},
		{name: "too many tasks", method: "POST", path: "/v1/jobs", body: `{"branch":"sofia","workload":"rebuild","tasks":100000}`, status: 400, field: "tasks"},
		{name: "job that can never run", method: "POST", path: "/v1/jobs", body: `{"branch":"sofia","workload":"huge"}`, status: 422, field: "workload"},
		{name: "key of another job", method: "POST", path: "/v1/jobs", body: `{"branch":"sofia","workload":"rebuild","tasks":1}`, header: map[string]string{api.HeaderIdempotencyKey: "monday"}, status: 422, field: api.HeaderIdempotencyKey},
		{name: "unknown job", method: "GET", path: "/v1/jobs/none", status: 404, field: "job"},
		{name: "sheet with a bad row", method: "PUT", path: "/v1/sheet?base=1", body: "branch,workload,kind,share\nsofia,a,batch,many\n", status: 422, field: "sheet"},
		{name: "sheet without a base", method: "PUT", path: "/v1/sheet", body: testSheet, status: 400, field: "base"},
		{name: "sheet from an old base", method: "PUT", path: "/v1/sheet?base=0", body: strings.ReplaceAll(testSheet, ",1,", ",2,"), status: 409, field: "base"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, problem := vm.sendRequest(t, c.method, c.path, c.body, c.header)
			if status != c.status || problem.Field != c.field || problem.Verdict != verdict.NotRun.String() {
				t.Errorf("status %d, field %q, verdict %q (%s); want %d, %q, not-run", status, problem.Field, problem.Verdict, problem.Error, c.status, c.field)
			}
		})
	}
	jobs, err := vm.client.Jobs(ctx, "")
	if err != nil || len(jobs) != 1 {
		t.Errorf("%d jobs, error %v; want only the accepted job", len(jobs), err)
	}
	statuses, err := vm.client.SheetStatus(ctx)
	if err != nil || len(statuses) != 1 || statuses[0].Revision != 1 {
		t.Errorf("sheet status %v, error %v; want revision 1", statuses, err)
	}
	if now := vm.backend.Counts().Ran; now != ran {
		t.Errorf("the backend server ran %d requests, want %d", now, ran)
	}
	if err := vm.stop(); err != nil {
		t.Error(err)
	}
}

func (vm *testVM) sendRequest(t *testing.T, method, path, body string, header map[string]string) (int, api.Problem) {
	t.Helper()
	req, err := http.NewRequest(method, vm.url+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var problem api.Problem
	if err := json.NewDecoder(resp.Body).Decode(&problem); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, problem
}

// TestStoreOutage checks that during a store outage requests without a key are served,
// while bookings with an idempotency key and jobs are rejected at once with a retry delay,
// the bookings as not run. After the outage the same key runs exactly once.
func TestStoreOutage(t *testing.T) {
	vm := startVM(t)
	vm.waitReady(t)
	vm.store.Faults.Set(standin.FaultSettings{Down: true})
	check, _ := vm.sendRequest(t, "GET", "/v1/branches/sofia/services/zalibook/availability", "", nil)
	if check != http.StatusOK {
		t.Errorf("availability check during the store outage: status %d, want 200", check)
	}
	key := map[string]string{api.HeaderIdempotencyKey: "hall-1"}
	path := "/v1/branches/sofia/services/zalibook/bookings?booking=hall-1"
	status, problem := vm.sendRequest(t, "POST", path, "", key)
	if status != http.StatusServiceUnavailable || problem.Verdict != verdict.NotRun.String() || problem.RetryAfterMs == 0 {
		t.Errorf("booking during the store outage: status %d, %+v", status, problem)
	}
	status, problem = vm.sendRequest(t, "POST", "/v1/jobs", `{"branch":"sofia","workload":"rebuild"}`, nil)
	if status != http.StatusServiceUnavailable || problem.Verdict == verdict.Done.String() || problem.RetryAfterMs == 0 {
		t.Errorf("job during the store outage: status %d, %+v", status, problem)
	}
	if ran := vm.backend.Counts().Bookings["hall-1"]; ran != 0 {
		t.Errorf("booking with the verdict not-run ran %d times", ran)
	}
	vm.store.Faults.Set(standin.FaultSettings{})
	vm.eventually(t, "the booking to be done", func() bool {
		status, _ := vm.sendRequest(t, "POST", path, "", key)
		return status == http.StatusOK
	})
	if ran := vm.backend.Counts().Bookings["hall-1"]; ran != 1 {
		t.Errorf("the booking ran %d times, want once", ran)
	}
	if err := vm.stop(); err != nil {
		t.Error(err)
	}
}

// TestMetricsEndpointServesTaggedGauges guards against metric names that the reporter
// rejects, which panic the process, and against tags that differ from the configured
// values.
func TestMetricsEndpointServesTaggedGauges(t *testing.T) {
	vm := startVM(t)
	vm.waitReady(t)
	vm.eventually(t, "the gauges", func() bool {
		text, err := vm.client.GetBody(context.Background(), "/metrics")
		return err == nil && strings.Contains(string(text), `filbertcross_partitions_owned{failure_domain="bg-south-1",vm="vm"} 1`)
	})
	if err := vm.stop(); err != nil {
		t.Error(err)
	}
}

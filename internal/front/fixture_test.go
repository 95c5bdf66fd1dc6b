package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/backend"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// singleVMView is the membership view of a cluster with a single VM.
type singleVMView struct{}

func (singleVMView) Self() membership.Member {
	return membership.Member{ID: "vm-1", State: membership.Alive, FailureDomain: "a"}
}
func (v singleVMView) Members() []membership.Member { return []membership.Member{v.Self()} }

// fixedConfiguration is a model.ConfigurationSource whose active configuration never
// changes.
type fixedConfiguration struct{ *model.Configuration }

func (f fixedConfiguration) Active() *model.Configuration { return f.Configuration }

var twoBranchConfiguration = fixedConfiguration{&model.Configuration{
	Revision: 1,
	Branches: []model.Branch{{ID: "north", Share: 1}, {ID: "south", Share: 1}},
	Workloads: []model.Workload{
		{Branch: "north", ID: "check", Kind: model.KindInteractive, Service: "zalibook"},
		{Branch: "south", ID: "check", Kind: model.KindInteractive, Service: "zalibook"},
	},
}}

// newTestFront starts an HTTP server with a Handler in front of the given backend
// servers.
func newTestFront(t *testing.T, options Options, keys *fakeLedger, servers ...*fakeServer) *httptest.Server {
	t.Helper()
	manager := backend.NewManager(backend.Options{}, singleVMView{}, nil, event.Discard{}, tally.NoopScope)
	var list []platform.VM
	for _, s := range servers {
		list = append(list, platform.VM{
			ID: s.id, Role: platform.RoleBackend, Service: "zalibook", Slots: 8, Connections: 64, Address: s.address(),
		})
	}
	manager.UpdateServerList(time.Now(), list)
	handler := New(options, manager, keys, twoBranchConfiguration, singleVMView{}, event.Discard{}, tally.NoopScope)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// sendRequest sends a request of branch north, with an idempotency key unless key is
// empty.
func sendRequest(t *testing.T, front *httptest.Server, method, path, key string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, front.URL+"/v1/branches/north/services/check"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set(HeaderIdempotencyKey, key)
	}
	response, err := front.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

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

// oneVM is the view of a VM that is alone.
type oneVM struct{}

func (oneVM) Self() membership.Member {
	return membership.Member{ID: "vm-1", State: membership.Alive, FailureDomain: "a"}
}
func (v oneVM) Members() []membership.Member { return []membership.Member{v.Self()} }

type inForce struct{ *model.Configuration }

func (f inForce) InForce() *model.Configuration { return f.Configuration }

var twoBranches = inForce{&model.Configuration{
	Revision: 1,
	Branches: []model.Branch{{ID: "north", Share: 1}, {ID: "south", Share: 1}},
	Workloads: []model.Workload{
		{Branch: "north", ID: "check", Kind: model.KindInteractive, Service: "zalibook"},
		{Branch: "south", ID: "check", Kind: model.KindInteractive, Service: "zalibook"},
	},
}}

// newFront serves the given backend servers to callers.
func newFront(t *testing.T, options Options, keys *fakeLedger, servers ...*fakeServer) *httptest.Server {
	t.Helper()
	manager := backend.NewManager(backend.Options{}, oneVM{}, nil, event.Discard{}, tally.NoopScope)
	var list []platform.VM
	for _, s := range servers {
		list = append(list, platform.VM{
			ID: s.id, Role: platform.RoleBackend, Service: "zalibook", Slots: 8, Connections: 64, Address: s.address(),
		})
	}
	manager.UpdateServerList(time.Now(), list)
	handler := New(options, manager, keys, twoBranches, oneVM{}, event.Discard{}, tally.NoopScope)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

func send(t *testing.T, front *httptest.Server, method, path, key string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, front.URL+"/v1/branches/north/services/check"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set(HeaderKey, key)
	}
	answer, err := front.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

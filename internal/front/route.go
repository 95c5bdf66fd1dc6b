package front

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"filbertcross/internal/model"
)

// Pattern is the http.ServeMux pattern of the paths that the handler serves.
const Pattern = "/v1/branches/{branch}/services/"

// route identifies the interactive workload that a request path names.
type route struct {
	branch  model.BranchID
	share   int64  // weight of the branch
	service string // that the backend servers offer
}

// routeTable resolves request paths by the active configuration. Safe for
// concurrent use.
type routeTable struct {
	source model.ConfigurationSource
	index  atomic.Pointer[routeIndex]
}

// routeIndex holds the routes of one configuration, by branch and by service name
// or workload id. It is not changed after its construction.
type routeIndex struct {
	configuration *model.Configuration
	branches      map[model.BranchID]map[string]route
}

func newRouteIndex(c *model.Configuration) *routeIndex {
	index := &routeIndex{configuration: c, branches: make(map[model.BranchID]map[string]route, len(c.Branches))}
	shares := make(map[model.BranchID]int64, len(c.Branches))
	for _, b := range c.Branches {
		shares[b.ID] = b.Share
		index.branches[b.ID] = make(map[string]route)
	}
	for _, w := range c.Workloads {
		services, known := index.branches[w.Branch]
		if !known || w.Kind != model.KindInteractive {
			continue
		}
		r := route{branch: w.Branch, share: shares[w.Branch], service: w.Service}
		services[w.Service] = r
		services[string(w.ID)] = r
	}
	return index
}

// current returns the index of the active configuration, or nil if there is none.
func (t *routeTable) current() *routeIndex {
	c := t.source.Active()
	if c == nil {
		return nil
	}
	index := t.index.Load()
	if index == nil || index.configuration != c {
		index = newRouteIndex(c)
		t.index.Store(index)
	}
	return index
}

// resolve returns the route of the URL and the escaped path at the backend server.
func (t *routeTable) resolve(u *url.URL) (route, string, *Problem) {
	branch, service, rest, ok := splitPath(u.EscapedPath())
	if !ok {
		return route{}, "", invalidRequest(http.StatusNotFound, "path", "path must have the form /v1/branches/{branch}/services/{service}/{path}")
	}
	index := t.current()
	if index == nil {
		return route{}, "", unavailable("no configuration is in force yet", configurationRetryAfter)
	}
	services, known := index.branches[model.BranchID(branch)]
	if !known {
		return route{}, "", invalidRequest(http.StatusNotFound, "branch", "the branch is not in the active configuration")
	}
	r, known := services[service]
	if !known {
		return route{}, "", invalidRequest(http.StatusNotFound, "service", "the branch has no such interactive workload")
	}
	return r, rest, nil
}

// splitPath splits the escaped path. branch and service are unescaped; rest keeps
// its escapes.
func splitPath(path string) (branch, service, rest string, ok bool) {
	tail, ok := strings.CutPrefix(path, "/v1/branches/")
	if !ok {
		return "", "", "", false
	}
	branch, tail, ok = strings.Cut(tail, "/services/")
	if !ok {
		return "", "", "", false
	}
	service, rest, _ = strings.Cut(tail, "/")
	branch, err := url.PathUnescape(branch)
	if err != nil {
		return "", "", "", false
	}
	service, err = url.PathUnescape(service)
	return branch, service, "/" + rest, err == nil
}

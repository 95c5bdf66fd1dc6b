package backend

import (
	"time"

	"filbertcross/internal/platform"
)

// Directory is the backend servers as the platform's lagging list and the peers'
// word show them. A server that either calls leaving is usable no more. Not safe
// for concurrent use.
type Directory struct {
	reportTTL     time.Duration // for which a word that a server is leaving holds
	listed        map[ServerID]listing
	reportedUntil map[ServerID]time.Time // end of a peer's word that the server is leaving
}

type listing struct {
	server  Server
	leaving bool
}

// NewDirectory returns an empty directory.
func NewDirectory(hold time.Duration) *Directory {
	return &Directory{reportTTL: hold, reportedUntil: make(map[ServerID]time.Time)}
}

// Update takes the platform's list and returns the servers that it shows as
// leaving for the first time.
func (d *Directory) Update(now time.Time, list []platform.VM) []ServerID {
	var news []ServerID
	listed := make(map[ServerID]listing)
	for _, vm := range list {
		if vm.Role != platform.RoleBackend {
			continue
		}
		s := serverFromVM(vm)
		if vm.Leaving && !d.IsLeaving(now, s.ID) {
			news = append(news, s.ID)
		}
		listed[s.ID] = listing{server: s, leaving: vm.Leaving}
	}
	d.listed = listed
	return news
}

// AddLeavingReports takes a peer's word and returns the servers that are news.
func (d *Directory) AddLeavingReports(now time.Time, servers []LeavingServer) []ServerID {
	var news []ServerID
	for _, s := range servers {
		if !d.IsLeaving(now, s.ID) {
			news = append(news, s.ID)
		}
		until := now.Add(min(s.Remaining, d.reportTTL))
		if until.After(d.reportedUntil[s.ID]) {
			d.reportedUntil[s.ID] = until
		}
	}
	return news
}

// IsLeaving reports whether the server gets nothing new.
func (d *Directory) IsLeaving(now time.Time, id ServerID) bool {
	return d.listed[id].leaving || now.Before(d.reportedUntil[id])
}

// LeavingServers returns the leaving servers to pass on, each for as long as the word holds.
func (d *Directory) LeavingServers(now time.Time) []LeavingServer {
	var told []LeavingServer
	for id, l := range d.listed {
		if l.leaving {
			told = append(told, LeavingServer{ID: id, Remaining: d.reportTTL})
		}
	}
	for id, until := range d.reportedUntil {
		switch {
		case !now.Before(until):
			delete(d.reportedUntil, id)
		case !d.listed[id].leaving:
			told = append(told, LeavingServer{ID: id, Remaining: until.Sub(now)})
		}
	}
	return told
}

// Usable returns the servers that may get requests, by service.
func (d *Directory) Usable(now time.Time) map[string][]Server {
	usable := make(map[string][]Server)
	for id, l := range d.listed {
		if !d.IsLeaving(now, id) {
			usable[l.server.Service] = append(usable[l.server.Service], l.server)
		}
	}
	return usable
}

package backend

import (
	"maps"
	"time"

	"filbertcross/internal/platform"
)

// Directory holds the known backend servers. It combines the platform's VM list,
// which lags, with reports from peers that servers are leaving. A server that
// either source shows as leaving is not usable. Not safe for concurrent use.
type Directory struct {
	reportTTL     time.Duration          // validity of a report that a server is leaving
	listed        map[ServerID]listing   // from the platform's list
	reportedUntil map[ServerID]time.Time // end of a peer's report that the server is leaving
}

type listing struct {
	server  Server
	leaving bool
}

// NewDirectory returns an empty directory. A report that a server is leaving is
// valid for at most reportTTL.
func NewDirectory(reportTTL time.Duration) *Directory {
	return &Directory{reportTTL: reportTTL, reportedUntil: make(map[ServerID]time.Time)}
}

// Update replaces the servers by those of the platform's list. It returns the ids
// of leaving servers that were not known to be leaving before.
func (d *Directory) Update(now time.Time, list []platform.VM) []ServerID {
	var newlyLeaving []ServerID
	listed := make(map[ServerID]listing)
	for _, vm := range list {
		if vm.Role != platform.RoleBackend {
			continue
		}
		s := serverFromVM(vm)
		if vm.Leaving && !d.IsLeaving(now, s.ID) {
			newlyLeaving = append(newlyLeaving, s.ID)
		}
		listed[s.ID] = listing{server: s, leaving: vm.Leaving}
	}
	d.listed = listed
	d.dropExpiredReports(now)
	return newlyLeaving
}

// AddLeavingReports adds a peer's reports and returns the ids of the servers that
// were not known to be leaving before.
func (d *Directory) AddLeavingReports(now time.Time, servers []LeavingServer) []ServerID {
	var newlyLeaving []ServerID
	for _, s := range servers {
		if !d.IsLeaving(now, s.ID) {
			newlyLeaving = append(newlyLeaving, s.ID)
		}
		until := now.Add(min(s.Remaining, d.reportTTL))
		if until.After(d.reportedUntil[s.ID]) {
			d.reportedUntil[s.ID] = until
		}
	}
	return newlyLeaving
}

func (d *Directory) dropExpiredReports(now time.Time) {
	maps.DeleteFunc(d.reportedUntil, func(_ ServerID, until time.Time) bool { return !now.Before(until) })
}

// IsLeaving reports whether the server is leaving and gets no new requests.
func (d *Directory) IsLeaving(now time.Time, id ServerID) bool {
	return d.listed[id].leaving || now.Before(d.reportedUntil[id])
}

// LeavingServers returns the leaving servers to send to peers, each with the
// remaining validity of its report. It does not change the directory.
func (d *Directory) LeavingServers(now time.Time) []LeavingServer {
	var leaving []LeavingServer
	for id, l := range d.listed {
		if l.leaving {
			leaving = append(leaving, LeavingServer{ID: id, Remaining: d.reportTTL})
		}
	}
	for id, until := range d.reportedUntil {
		if now.Before(until) && !d.listed[id].leaving {
			leaving = append(leaving, LeavingServer{ID: id, Remaining: until.Sub(now)})
		}
	}
	return leaving
}

// Usable returns the servers that may get requests, keyed by service.
func (d *Directory) Usable(now time.Time) map[string][]Server {
	usable := make(map[string][]Server)
	for id, l := range d.listed {
		if !d.IsLeaving(now, id) {
			usable[l.server.Service] = append(usable[l.server.Service], l.server)
		}
	}
	return usable
}

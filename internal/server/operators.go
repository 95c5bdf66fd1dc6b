package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"filbertcross/internal/api"
	"filbertcross/internal/event"
	"filbertcross/internal/event/timeline"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/sheet"
	"filbertcross/internal/verdict"
)

const (
	maxSheetBytes  = 8 << 20
	maxJobBytes    = 64 << 10
	gatherTimeout  = 2 * time.Second // for the answers of the other VMs
	defaultEntries = 1000            // of a time line
)

// readiness says why the VM takes no work, or nil.
type readiness func() error

// operators are the handlers of the operators' HTTP interface.
type operators struct {
	jobs      *jobs
	sheets    *sheets
	source    model.ConfigurationSource
	log       *event.Log
	collector *timeline.Collector
	view      membership.View
	metrics   http.Handler
	ready     readiness
}

func (o *operators) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", o.submitJob)
	mux.HandleFunc("GET /v1/jobs", o.listJobs)
	mux.HandleFunc("GET /v1/jobs/{job}", o.showJob)
	mux.HandleFunc("DELETE /v1/jobs/{job}", o.cancelJob)
	mux.HandleFunc("GET /v1/workers", o.listWorkers)
	mux.HandleFunc("GET /v1/branches", o.listBranches)
	mux.HandleFunc("PUT /v1/sheet", o.applySheet)
	mux.HandleFunc("POST /v1/sheet/diff", o.diffSheet)
	mux.HandleFunc("GET /v1/sheet/status", o.sheetStatus)
	mux.HandleFunc("GET /v1/members", o.listMembers)
	mux.HandleFunc("GET /v1/events", o.listEvents)
	mux.HandleFunc("GET /v1/timeline", o.showTimeline)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", o.readyz)
	mux.Handle("GET /metrics", o.metrics)
}

func (o *operators) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := o.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (o *operators) submitJob(w http.ResponseWriter, r *http.Request) {
	var request api.SubmitJob
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeProblem(w, refused(http.StatusBadRequest, "body", "not a job: %v", err))
		return
	}
	job, err := o.jobs.submit(r.Context(), request, r.Header.Get(api.HeaderIdempotencyKey))
	respond(w, http.StatusCreated, job, err)
}

func respond(w http.ResponseWriter, status int, body any, err error) {
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, status, body)
}

func (o *operators) showJob(w http.ResponseWriter, r *http.Request) {
	job, err := o.jobs.status(r.Context(), model.JobID(r.PathValue("job")))
	respond(w, http.StatusOK, job, err)
}

func (o *operators) cancelJob(w http.ResponseWriter, r *http.Request) {
	err := o.jobs.cancel(r.Context(), model.JobID(r.PathValue("job")))
	respond(w, http.StatusOK, struct{}{}, err)
}

func (o *operators) listJobs(w http.ResponseWriter, r *http.Request) {
	found, err := o.jobs.list(r.Context(), model.BranchID(r.URL.Query().Get("branch")))
	respond(w, http.StatusOK, found, err)
}

func (o *operators) listWorkers(w http.ResponseWriter, r *http.Request) {
	found, err := o.jobs.workers(r.Context())
	respond(w, http.StatusOK, found, err)
}

func (o *operators) listBranches(w http.ResponseWriter, _ *http.Request) {
	configuration := o.source.Active()
	if configuration == nil {
		writeProblem(w, noConfiguration())
		return
	}
	branches := make([]api.Branch, len(configuration.Branches))
	for i, b := range configuration.Branches {
		branches[i].Branch = b
		for _, workload := range configuration.Workloads {
			if workload.Branch == b.ID {
				branches[i].Workloads = append(branches[i].Workloads, workload)
			}
		}
	}
	writeJSON(w, http.StatusOK, branches)
}

func (o *operators) readSheet(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	csv, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSheetBytes))
	if err != nil {
		writeProblem(w, refused(http.StatusRequestEntityTooLarge, "body", "the sheet was not read: %v", err))
		return nil, false
	}
	return csv, true
}

func charset(r *http.Request) sheet.Charset { return sheet.Charset(r.URL.Query().Get("charset")) }

func (o *operators) applySheet(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil || base < 0 {
		writeProblem(w, refused(http.StatusBadRequest, "base", "not a revision; give the one that the sheet was made from, 0 for the first"))
		return
	}
	csv, ok := o.readSheet(w, r)
	if !ok {
		return
	}
	accepted, err := o.sheets.apply(r.Context(), base, csv, charset(r))
	respond(w, http.StatusOK, accepted, err)
}

func (o *operators) diffSheet(w http.ResponseWriter, r *http.Request) {
	csv, ok := o.readSheet(w, r)
	if !ok {
		return
	}
	diff, err := o.sheets.diff(csv, charset(r))
	respond(w, http.StatusOK, diff, err)
}

func (o *operators) sheetStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), gatherTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, o.sheets.status(ctx))
}

func (o *operators) listMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.view.Members())
}

func (o *operators) listEvents(w http.ResponseWriter, r *http.Request) {
	writeTimeline(w, r, timeline.Timeline{Entries: o.log.List(event.ListRequest{}).Entries})
}

func (o *operators) showTimeline(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), gatherTimeout)
	defer cancel()
	var vms []timeline.VM
	self := o.view.Self().ID
	for _, m := range o.view.Members() {
		vm := timeline.VM{ID: m.ID, Address: m.Address}
		if m.ID == self {
			vm.Address = ""
		}
		vms = append(vms, vm)
	}
	writeTimeline(w, r, o.collector.Collect(ctx, vms, 0))
}

// writeTimeline writes the latest entries as text or, with format=json, as JSON.
func writeTimeline(w http.ResponseWriter, r *http.Request, line timeline.Timeline) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultEntries
	}
	line.Entries = line.Entries[max(0, len(line.Entries)-limit):]
	if r.URL.Query().Get("format") == "json" {
		writeJSON(w, http.StatusOK, line)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = event.WriteText(w, line.Entries)
	for _, vm := range slices.Concat(line.Unreachable, line.Incomplete) {
		_, _ = io.WriteString(w, "# incomplete: "+strings.TrimSpace(string(vm))+"\n")
	}
}

func noConfiguration() error {
	return comeBack(verdict.NotRun, time.Second, "no configuration is in force on this VM yet")
}

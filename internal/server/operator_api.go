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
	maxSheetBytes          = 8 << 20
	maxJobBytes            = 64 << 10
	gatherTimeout          = 2 * time.Second // for the replies of the other VMs
	defaultTimelineEntries = 1000            // entries of a timeline without a limit parameter
)

// readiness returns why the VM is not ready for requests, or nil if it is.
type readiness func() error

// operatorAPI contains the handlers of the HTTP API for operators. Safe for concurrent
// use.
type operatorAPI struct {
	jobs      *jobService
	sheets    *sheetService
	source    model.ConfigurationSource
	log       *event.Log
	collector *timeline.Collector
	view      membership.View
	metrics   http.Handler
	ready     readiness
}

func (o *operatorAPI) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", o.submitJob)
	mux.HandleFunc("GET /v1/jobs", o.listJobs)
	mux.HandleFunc("GET /v1/jobs/{job}", o.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{job}", o.cancelJob)
	mux.HandleFunc("GET /v1/workers", o.listWorkers)
	mux.HandleFunc("GET /v1/branches", o.listBranches)
	mux.HandleFunc("PUT /v1/sheet", o.applySheet)
	mux.HandleFunc("POST /v1/sheet/diff", o.diffSheet)
	mux.HandleFunc("GET /v1/sheet/status", o.getSheetStatus)
	mux.HandleFunc("GET /v1/members", o.listMembers)
	mux.HandleFunc("GET /v1/events", o.listEvents)
	mux.HandleFunc("GET /v1/timeline", o.getTimeline)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", o.readyz)
	mux.Handle("GET /metrics", o.metrics)
}

func (o *operatorAPI) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := o.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (o *operatorAPI) submitJob(w http.ResponseWriter, r *http.Request) {
	var request api.SubmitJobRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeProblem(w, rejectedRequest(http.StatusBadRequest, "body", "invalid job: %v", err))
		return
	}
	job, err := o.jobs.submit(r.Context(), request, r.Header.Get(api.HeaderIdempotencyKey))
	writeResponse(w, http.StatusCreated, job, err)
}

func writeResponse(w http.ResponseWriter, status int, body any, err error) {
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, status, body)
}

func (o *operatorAPI) getJob(w http.ResponseWriter, r *http.Request) {
	job, err := o.jobs.status(r.Context(), model.JobID(r.PathValue("job")))
	writeResponse(w, http.StatusOK, job, err)
}

func (o *operatorAPI) cancelJob(w http.ResponseWriter, r *http.Request) {
	err := o.jobs.cancel(r.Context(), model.JobID(r.PathValue("job")))
	writeResponse(w, http.StatusOK, struct{}{}, err)
}

func (o *operatorAPI) listJobs(w http.ResponseWriter, r *http.Request) {
	found, err := o.jobs.list(r.Context(), model.BranchID(r.URL.Query().Get("branch")))
	writeResponse(w, http.StatusOK, found, err)
}

func (o *operatorAPI) listWorkers(w http.ResponseWriter, r *http.Request) {
	found, err := o.jobs.workers(r.Context())
	writeResponse(w, http.StatusOK, found, err)
}

func (o *operatorAPI) listBranches(w http.ResponseWriter, _ *http.Request) {
	configuration := o.source.Active()
	if configuration == nil {
		writeProblem(w, noConfigurationError())
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

func (o *operatorAPI) readSheet(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	csv, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSheetBytes))
	if err != nil {
		writeProblem(w, rejectedRequest(http.StatusRequestEntityTooLarge, "body", "cannot read the sheet: %v", err))
		return nil, false
	}
	return csv, true
}

func charsetOf(r *http.Request) sheet.Charset { return sheet.Charset(r.URL.Query().Get("charset")) }

func (o *operatorAPI) applySheet(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil || base < 0 {
		writeProblem(w, rejectedRequest(http.StatusBadRequest, "base", "invalid revision; set base to the revision that the sheet was derived from, 0 for the first sheet"))
		return
	}
	csv, ok := o.readSheet(w, r)
	if !ok {
		return
	}
	accepted, err := o.sheets.apply(r.Context(), base, csv, charsetOf(r))
	writeResponse(w, http.StatusOK, accepted, err)
}

func (o *operatorAPI) diffSheet(w http.ResponseWriter, r *http.Request) {
	csv, ok := o.readSheet(w, r)
	if !ok {
		return
	}
	diff, err := o.sheets.diff(csv, charsetOf(r))
	writeResponse(w, http.StatusOK, diff, err)
}

func (o *operatorAPI) getSheetStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), gatherTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, o.sheets.status(ctx))
}

func (o *operatorAPI) listMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.view.Members())
}

func (o *operatorAPI) listEvents(w http.ResponseWriter, r *http.Request) {
	writeTimeline(w, r, timeline.Timeline{Entries: o.log.List(event.ListRequest{}).Entries})
}

func (o *operatorAPI) getTimeline(w http.ResponseWriter, r *http.Request) {
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

// writeTimeline writes the latest entries, at most the request's limit, as text or, with
// format=json, as JSON. The text ends with a line for each VM whose events are missing
// or incomplete.
func writeTimeline(w http.ResponseWriter, r *http.Request, collected timeline.Timeline) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultTimelineEntries
	}
	collected.Entries = collected.Entries[max(0, len(collected.Entries)-limit):]
	if r.URL.Query().Get("format") == "json" {
		writeJSON(w, http.StatusOK, collected)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = event.WriteText(w, collected.Entries)
	for _, vm := range slices.Concat(collected.Unreachable, collected.Incomplete) {
		_, _ = io.WriteString(w, "# incomplete: "+strings.TrimSpace(string(vm))+"\n")
	}
}

func noConfigurationError() error {
	return temporarilyUnavailable(verdict.NotRun, time.Second, "no configuration is in force on this VM yet")
}

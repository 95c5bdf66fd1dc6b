package server

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/sheet"
	"filbertcross/internal/verdict"
)

// configurations is where accepted sheets are kept and come in force.
type configurations interface {
	model.ConfigurationSource
	Changed() <-chan struct{}
	Run(ctx context.Context) error
	Apply(ctx context.Context, base int64, s sheet.Sheet) (int64, error)
}

// sheets checks, compares and applies the operators' sheets.
type sheets struct {
	configurations configurations
	view           membership.View
}

// apply puts a sheet in force if the configuration that it was made from still is.
func (s *sheets) apply(ctx context.Context, base int64, csv []byte, charset sheet.Charset) (api.SheetAccepted, error) {
	parsed, report := sheet.Parse(csv, charset)
	if err := invalidSheet(report); err != nil {
		return api.SheetAccepted{}, err
	}
	before := s.current()
	revision, err := s.configurations.Apply(ctx, base, parsed)
	if err != nil {
		return api.SheetAccepted{}, applyError(err)
	}
	return accepted(revision, before, parsed, report), nil
}

// diff compares a sheet with the configuration in force.
func (s *sheets) diff(csv []byte, charset sheet.Charset) (api.SheetAccepted, error) {
	parsed, report := sheet.Parse(csv, charset)
	if err := invalidSheet(report); err != nil {
		return api.SheetAccepted{}, err
	}
	revision := int64(0)
	if c := s.configurations.InForce(); c != nil {
		revision = c.Revision
	}
	return accepted(revision, s.current(), parsed, report), nil
}

// current is the configuration in force as a sheet; empty if there is none.
func (s *sheets) current() sheet.Sheet {
	c := s.configurations.InForce()
	if c == nil {
		return sheet.Sheet{}
	}
	return sheet.Sheet{Branches: c.Branches, Workloads: c.Workloads}
}

func accepted(revision int64, before, after sheet.Sheet, report sheet.Report) api.SheetAccepted {
	answer := api.SheetAccepted{Revision: revision, Changes: []string{}}
	for _, change := range sheet.Diff(before, after) {
		answer.Changes = append(answer.Changes, change.String())
	}
	for _, notice := range report.Notices {
		answer.Notices = append(answer.Notices, notice.String())
	}
	return answer
}

func invalidSheet(report sheet.Report) error {
	if len(report.Problems) == 0 {
		return nil
	}
	return &api.StatusError{Status: http.StatusUnprocessableEntity, Problem: api.Problem{
		Error:   "the sheet was refused whole; nothing changed",
		Field:   "sheet",
		Verdict: verdict.NotRun.String(),
		Rows:    report.Problems,
	}}
}

func applyError(err error) error {
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return comeBack(verdict.NotRun, jobRetryAfter, "the platform's store does not answer: %v", err)
	case errors.Is(err, platform.ErrUncertain):
		return comeBack(verdict.MayHaveRun, jobRetryAfter, "the store's answer was lost; see sheet status: %v", err)
	default:
		return refused(http.StatusConflict, "base", "%v", err)
	}
}

// status returns the revision in force on every VM, as the heartbeats tell it.
func (s *sheets) status(context.Context) []api.SheetStatus {
	var found []api.SheetStatus
	for _, m := range s.view.Members() {
		if m.State == membership.Dead {
			continue
		}
		found = append(found, api.SheetStatus{VM: m.ID, Revision: m.Digest.Revision})
	}
	slices.SortFunc(found, func(a, b api.SheetStatus) int { return cmp.Compare(a.VM, b.VM) })
	return found
}

package server

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/rollout"
	"filbertcross/internal/sheet"
	"filbertcross/internal/verdict"
)

// sheetService validates, compares and applies sheets. Safe for concurrent use.
type sheetService struct {
	rollout *rollout.Rollout
}

// apply activates a sheet if base, the revision that it was derived from, is still the
// active one.
func (s *sheetService) apply(ctx context.Context, base int64, csv []byte, charset sheet.Charset) (api.SheetResult, error) {
	parsed, report := sheet.Parse(csv, charset)
	if err := invalidSheetError(report); err != nil {
		return api.SheetResult{}, err
	}
	result, err := s.rollout.Apply(ctx, base, parsed)
	if err != nil {
		return api.SheetResult{}, applyError(err)
	}
	return acceptedResult(result.Revision, result.Changes, report), nil
}

// diff compares a sheet with the active configuration.
func (s *sheetService) diff(csv []byte, charset sheet.Charset) (api.SheetResult, error) {
	parsed, report := sheet.Parse(csv, charset)
	if err := invalidSheetError(report); err != nil {
		return api.SheetResult{}, err
	}
	revision := int64(0)
	if c := s.rollout.Source().Active(); c != nil {
		revision = c.Revision
	}
	return acceptedResult(revision, sheet.Diff(s.activeSheet(), parsed), report), nil
}

// activeSheet returns the active configuration as a sheet; empty if there is none.
func (s *sheetService) activeSheet() sheet.Sheet {
	c := s.rollout.Source().Active()
	if c == nil {
		return sheet.Sheet{}
	}
	return sheet.Sheet{Branches: c.Branches, Workloads: c.Workloads}
}

func acceptedResult(revision int64, changes sheet.Changes, report sheet.Report) api.SheetResult {
	reply := api.SheetResult{Revision: revision, Changes: []string{}}
	for _, change := range changes {
		reply.Changes = append(reply.Changes, change.String())
	}
	for _, notice := range report.Notices {
		reply.Notices = append(reply.Notices, notice.String())
	}
	return reply
}

func invalidSheetError(report sheet.Report) error {
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

// applyError converts an error of Rollout.Apply into an api.StatusError. Its verdict is
// may-have-run if the sheet may still be accepted.
func applyError(err error) error {
	var conflict *rollout.ConflictError
	var uncertain *rollout.UncertainError
	switch {
	case errors.As(err, &conflict):
		failure := &api.StatusError{Status: http.StatusConflict, Problem: api.Problem{
			Error:   fmt.Sprintf("the sheet starts from revision %d, but %d is in force", conflict.Base, conflict.Revision),
			Field:   "base",
			Verdict: verdict.NotRun.String(),
		}}
		for _, change := range conflict.Changes {
			failure.Problem.Conflicts = append(failure.Problem.Conflicts, change.String())
		}
		return failure
	case errors.As(err, &uncertain):
		return temporarilyUnavailable(verdict.MayHaveRun, jobRetryAfter, "%v", err)
	default:
		return temporarilyUnavailable(verdict.NotRun, jobRetryAfter, "%v", err)
	}
}

// status returns the active revision of every VM and the time since when it is active.
func (s *sheetService) status(ctx context.Context) []api.SheetStatus {
	var statuses []api.SheetStatus
	for _, vmStatus := range s.rollout.Status(ctx) {
		statuses = append(statuses, api.SheetStatus{VM: vmStatus.VM, Revision: vmStatus.Revision, Since: vmStatus.Since, Problem: vmStatus.Problem})
	}
	return statuses
}

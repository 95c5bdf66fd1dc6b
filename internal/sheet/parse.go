package sheet

import (
	"encoding/csv"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// Limits of a sheet.
const (
	MaxBytes    = 8 << 20
	MaxRows     = 20_000
	maxProblems = 1000 // reported; the rest is counted
)

// Sheet is a checked sheet, its branches ordered by id and its workloads by branch and id.
type Sheet struct {
	Branches  []model.Branch
	Workloads []model.Workload
}

// Parse reads a sheet whole. The sheet is valid only if the report has no problems.
func Parse(data []byte, charset Charset) (Sheet, Report) {
	p := parser{index: map[Column]int{}}
	if len(data) > MaxBytes {
		p.problem(0, "", "", "is larger than 8 MiB")
		return Sheet{}, p.report
	}
	text, err := decodeText(data, charset)
	if err != nil {
		p.problem(0, "", "", err.Error())
		return Sheet{}, p.report
	}
	p.read(text)
	sheet := p.assemble()
	if p.unlisted > 0 {
		p.report.Problems = append(p.report.Problems, Problem{Message: strconv.Itoa(p.unlisted) + " further problems are not listed"})
	}
	if len(p.report.Problems) > 0 {
		return Sheet{}, p.report
	}
	return sheet, p.report
}

// parser holds what has been read so far.
type parser struct {
	index    map[Column]int // position of each column
	extra    int            // columns of the header
	rows     []row
	report   Report
	unlisted int // problems beyond maxProblems
}

// row is one workload with the line it stands on.
type row struct {
	line     int
	workload model.Workload
	quota    model.Resources
}

func (p *parser) problem(line int, column Column, value, message string) {
	if len(p.report.Problems) >= maxProblems {
		p.unlisted++
		return
	}
	p.report.Problems = append(p.report.Problems, Problem{Row: line, Column: column, Value: value, Message: message})
}

func (p *parser) notice(line int, column Column, value, message string) {
	p.report.Notices = append(p.report.Notices, Problem{Row: line, Column: column, Value: value, Message: message})
}

// read parses header and rows.
func (p *parser) read(text string) {
	text, dropped := dropSeparatorLine(text)
	offset := 0
	if dropped {
		offset = 1
	}
	r := csv.NewReader(strings.NewReader(text))
	r.Comma = delimiterOf(text)
	r.FieldsPerRecord = -1
	for header := true; ; {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.csvProblem(err, offset)
			return
		}
		line, _ := r.FieldPos(0)
		switch {
		case blank(cells):
		case header:
			header = false
			if !p.header(line+offset, cells) {
				return
			}
		case len(p.rows) == MaxRows:
			p.problem(line+offset, "", "", "more than "+strconv.Itoa(MaxRows)+" rows")
			return
		default:
			p.row(line+offset, cells)
		}
	}
	if p.extra == 0 {
		p.problem(0, "", "", "has no header row")
	} else if len(p.rows) == 0 {
		p.problem(0, "", "", "has no workloads")
	}
}

func (p *parser) csvProblem(err error, offset int) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.problem(parse.Line+offset, "", "", parse.Err.Error())
		return
	}
	p.problem(0, "", "", err.Error())
}

func blank(cells []string) bool {
	for _, cell := range cells {
		if cleanText(cell) != "" {
			return false
		}
	}
	return true
}

// header finds the columns and reports whether all required ones are there.
func (p *parser) header(line int, cells []string) bool {
	p.extra = len(cells)
	for i, cell := range cells {
		column, ok := columnOf(cell)
		_, twice := p.index[column]
		switch {
		case ok && twice:
			p.problem(line, column, "", "appears twice in the header")
		case ok:
			p.index[column] = i
		case cleanText(cell) != "":
			p.notice(line, Column(cleanText(cell)), "", "is not a column of the sheet and is ignored")
		}
	}
	for _, column := range required {
		if _, ok := p.index[column]; !ok {
			p.problem(line, column, "", "is missing from the header")
		}
	}
	return len(p.report.Problems) == 0
}

// row parses one workload and keeps it even when a cell is wrong, so that later
// checks report on the rest of it.
func (p *parser) row(line int, cells []string) {
	r := rowReader{parser: p, line: line, cells: cells}
	for i := p.extra; i < len(cells); i++ {
		if cleanText(cells[i]) != "" {
			p.problem(line, "", cells[i], "stands to the right of the header's last column")
		}
	}
	w := model.Workload{
		Branch:   model.BranchID(value(r, ColumnBranch, parseName)),
		ID:       model.WorkloadID(value(r, ColumnWorkload, parseName)),
		Kind:     value(r, ColumnKind, parseKind),
		Share:    value(r, ColumnShare, func(s string) (int64, error) { return parseCount(s, 1, MaxShare) }),
		Tier:     value(r, ColumnPriority, parsePriority),
		Deadline: value(r, ColumnDeadline, parseDuration),
		Runtime:  value(r, ColumnRuntime, parseDuration),
		Size:     r.resources(ColumnCPUs, ColumnMemory, ColumnAccelerators, 1),
		Tasks:    1,
	}
	if r.text(ColumnTasks) != "" {
		w.Tasks = int(value(r, ColumnTasks, func(s string) (int64, error) { return parseCount(s, 1, MaxTasks) }))
	}
	if r.text(ColumnService) != "" {
		w.Service = value(r, ColumnService, parseName)
	}
	quota := r.resources(ColumnQuotaCPUs, ColumnQuotaMemory, ColumnQuotaAccelerators, quotaFactor)
	p.rows = append(p.rows, row{line: line, workload: w, quota: quota})
}

// rowReader gives a row's cells by column.
type rowReader struct {
	*parser
	line  int
	cells []string
}

// text returns the cell's clean text; a column or cell that is absent is empty.
func (r rowReader) text(c Column) string {
	i, ok := r.index[c]
	if !ok || i >= len(r.cells) {
		return ""
	}
	return cleanText(r.cells[i])
}

// resources reads three columns; empty cells are zero. Limits are those of one task times factor.
func (r rowReader) resources(cpus, memory, accelerators Column, factor int64) model.Resources {
	amount := func(c Column, parse func(string, int64) (int64, error), high int64) int64 {
		return value(r, c, func(s string) (int64, error) {
			if s == "" {
				return 0, nil
			}
			return parse(s, high*factor)
		})
	}
	count := func(s string, high int64) (int64, error) { return parseCount(s, 0, high) }
	return model.Resources{
		MilliCPU:     amount(cpus, parseCPUs, maxMilliCPU),
		MemoryMiB:    amount(memory, parseMemory, maxMemoryMiB),
		Accelerators: amount(accelerators, count, maxAccelerators),
	}
}

// value parses a cell and reports its problem, if any.
func value[T any](r rowReader, c Column, parse func(string) (T, error)) T {
	text := r.text(c)
	v, err := parse(text)
	if err != nil {
		r.problem(r.line, c, text, err.Error())
	}
	return v
}

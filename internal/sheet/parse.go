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
	maxProblems = 1000 // listed in a report; further problems are only counted
)

// Sheet is a valid sheet in canonical order: branches by id, workloads by branch and id.
type Sheet struct {
	Branches  []model.Branch
	Workloads []model.Workload
}

// Parse parses and validates a sheet. If the report has problems, the returned sheet
// is empty.
func Parse(data []byte, charset Charset) (Sheet, Report) {
	p := parser{columnIndex: map[Column]int{}}
	if len(data) > MaxBytes {
		p.addProblem(0, "", "", "is larger than 8 MiB")
		return Sheet{}, p.report
	}
	text, err := decodeText(data, charset)
	if err != nil {
		p.addProblem(0, "", "", err.Error())
		return Sheet{}, p.report
	}
	p.parseRows(text)
	sheet := p.buildSheet()
	if p.omittedProblems > 0 {
		p.report.Problems = append(p.report.Problems, Problem{Message: strconv.Itoa(p.omittedProblems) + " further problems are not listed"})
	}
	if len(p.report.Problems) > 0 {
		return Sheet{}, p.report
	}
	return sheet, p.report
}

// parser holds the rows and problems found so far.
type parser struct {
	columnIndex     map[Column]int // position of each column
	headerCells     int            // number of cells of the header; 0: no header yet
	rows            []row
	report          Report
	omittedProblems int // problems beyond maxProblems
}

// row is a parsed workload and its line in the file.
type row struct {
	line     int
	workload model.Workload
	quota    model.Resources
}

func (p *parser) addProblem(line int, column Column, value, message string) {
	if len(p.report.Problems) >= maxProblems {
		p.omittedProblems++
		return
	}
	p.report.Problems = append(p.report.Problems, Problem{Row: line, Column: column, Value: value, Message: message})
}

func (p *parser) addNotice(line int, column Column, value, message string) {
	p.report.Notices = append(p.report.Notices, Problem{Row: line, Column: column, Value: value, Message: message})
}

// parseRows parses the header and the rows.
func (p *parser) parseRows(text string) {
	text, skipped := skipSeparatorLine(text)
	offset := 0
	if skipped {
		offset = 1
	}
	r := csv.NewReader(strings.NewReader(text))
	r.Comma = detectDelimiter(text)
	r.FieldsPerRecord = -1
	for header := true; ; {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.addCSVProblem(err, offset)
			return
		}
		line, _ := r.FieldPos(0)
		switch {
		case isBlankRow(cells):
		case header:
			header = false
			if !p.parseHeader(line+offset, cells) {
				return
			}
		case len(p.rows) == MaxRows:
			p.addProblem(line+offset, "", "", "more than "+strconv.Itoa(MaxRows)+" rows")
			return
		default:
			p.parseRow(line+offset, cells)
		}
	}
	if p.headerCells == 0 {
		p.addProblem(0, "", "", "has no header row")
	} else if len(p.rows) == 0 {
		p.addProblem(0, "", "", "has no workloads")
	}
}

func (p *parser) addCSVProblem(err error, offset int) {
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		p.addProblem(parseError.Line+offset, "", "", parseError.Err.Error())
		return
	}
	p.addProblem(0, "", "", err.Error())
}

func isBlankRow(cells []string) bool {
	for _, cell := range cells {
		if normalizeText(cell) != "" {
			return false
		}
	}
	return true
}

// parseHeader finds the position of each column. It returns false if a required column
// is missing or a column appears twice.
func (p *parser) parseHeader(line int, cells []string) bool {
	p.headerCells = len(cells)
	for i, cell := range cells {
		column, ok := findColumn(cell)
		_, duplicate := p.columnIndex[column]
		switch {
		case ok && duplicate:
			p.addProblem(line, column, "", "appears twice in the header")
		case ok:
			p.columnIndex[column] = i
		case normalizeText(cell) != "":
			p.addNotice(line, Column(normalizeText(cell)), "", "is not a column of the sheet and is ignored")
		}
	}
	for _, column := range requiredColumns {
		if _, ok := p.columnIndex[column]; !ok {
			p.addProblem(line, column, "", "is missing from the header")
		}
	}
	return len(p.report.Problems) == 0
}

// parseRow parses a workload. It adds the row even if a cell is invalid, so that later
// checks can report problems in the other cells.
func (p *parser) parseRow(line int, cells []string) {
	r := rowReader{parser: p, line: line, cells: cells}
	for i := p.headerCells; i < len(cells); i++ {
		if normalizeText(cells[i]) != "" {
			p.addProblem(line, "", cells[i], "is to the right of the header's last column")
		}
	}
	w := model.Workload{
		Branch:   model.BranchID(parseCell(r, ColumnBranch, parseName)),
		ID:       model.WorkloadID(parseCell(r, ColumnWorkload, parseName)),
		Kind:     parseCell(r, ColumnKind, parseKind),
		Share:    parseCell(r, ColumnShare, func(s string) (int64, error) { return parseCount(s, 1, MaxShare) }),
		Tier:     parseCell(r, ColumnPriority, parsePriority),
		Deadline: parseCell(r, ColumnDeadline, parseDuration),
		Runtime:  parseCell(r, ColumnRuntime, parseDuration),
		Size:     r.parseResources(ColumnCPUs, ColumnMemory, ColumnAccelerators, 1),
		Tasks:    1,
	}
	if r.cellText(ColumnTasks) != "" {
		w.Tasks = int(parseCell(r, ColumnTasks, func(s string) (int64, error) { return parseCount(s, 1, MaxTasks) }))
	}
	if r.cellText(ColumnService) != "" {
		w.Service = parseCell(r, ColumnService, parseName)
	}
	quota := r.parseResources(ColumnQuotaCPUs, ColumnQuotaMemory, ColumnQuotaAccelerators, maxQuotaTasks)
	p.rows = append(p.rows, row{line: line, workload: w, quota: quota})
}

// rowReader returns the cells of a row by column.
type rowReader struct {
	*parser
	line  int
	cells []string
}

// cellText returns the cell's normalized text; it is empty if the column or cell is
// missing.
func (r rowReader) cellText(c Column) string {
	i, ok := r.columnIndex[c]
	if !ok || i >= len(r.cells) {
		return ""
	}
	return normalizeText(r.cells[i])
}

// parseResources parses three columns; empty cells are zero. The limits are those of one
// task multiplied by factor.
func (r rowReader) parseResources(cpus, memory, accelerators Column, factor int64) model.Resources {
	amount := func(c Column, parse func(string, int64) (int64, error), high int64) int64 {
		return parseCell(r, c, func(s string) (int64, error) {
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

// parseCell parses a cell and adds its problem, if any, to the report.
func parseCell[T any](r rowReader, c Column, parse func(string) (T, error)) T {
	text := r.cellText(c)
	v, err := parse(text)
	if err != nil {
		r.addProblem(r.line, c, text, err.Error())
	}
	return v
}

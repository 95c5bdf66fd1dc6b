package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/text/encoding/charmap"
	"golang.org/x/text/unicode/norm"
	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

var branchNames = []model.BranchID{"Coöperatie Zuidwolde", "Friese Ballonvaart", "Колеж „Св. Климент“", "УниБит", "Café São", "Ballon, Lading; B.V.", "a \"b\""}

func drawSheet(t *rapid.T) Sheet {
	var s Sheet
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(branchNames), 1, 4, rapid.ID).Draw(t, "branches")
	for _, name := range names {
		b := model.Branch{ID: name, Share: rapid.Int64Range(1, MaxShare).Draw(t, "share")}
		b.Quota.MilliCPU = rapid.Int64Range(0, 9000).Draw(t, "quota")
		s.Branches = append(s.Branches, b)
		ids := rapid.SliceOfNDistinct(rapid.SampledFrom([]model.WorkloadID{"rebuild", "watch", "справка", "vrijgave é", "0"}), 1, 4, rapid.ID).Draw(t, "workloads")
		for _, id := range ids {
			s.Workloads = append(s.Workloads, drawWorkload(t, b, id))
		}
	}
	s.Sort()
	return s
}

func drawWorkload(t *rapid.T, b model.Branch, id model.WorkloadID) model.Workload {
	w := model.Workload{Branch: b.ID, ID: id, Share: b.Share, Tasks: 1}
	w.Kind = rapid.SampledFrom([]model.Kind{model.KindInteractive, model.KindService, model.KindBatch, model.KindGang}).Draw(t, "kind")
	w.Tier = model.Tier(rapid.IntRange(0, int(model.TierCount)-1).Draw(t, "tier"))
	w.Deadline = time.Duration(rapid.IntRange(0, 500_000).Draw(t, "deadline")) * time.Millisecond
	w.Runtime = time.Duration(rapid.IntRange(0, 500).Draw(t, "runtime")) * time.Minute
	if w.Kind == model.KindInteractive {
		w.Service = "zalibook"
		return w
	}
	if w.Kind == model.KindGang {
		w.Tasks = rapid.IntRange(2, MaxTasks).Draw(t, "tasks")
	}
	w.Size = model.Resources{
		MilliCPU:     rapid.Int64Range(1, maxMilliCPU).Draw(t, "cpu"),
		MemoryMiB:    rapid.Int64Range(0, maxMemoryMiB).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, maxAccelerators).Draw(t, "accelerators"),
	}
	return w
}

// formatRecords returns the cells of the sheet's canonical form.
func formatRecords(t *rapid.T, s Sheet) [][]string {
	var b bytes.Buffer
	if err := Write(&b, s); err != nil {
		t.Fatal(err)
	}
	r := csv.NewReader(&b)
	r.Comma = ';'
	all, err := r.ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// applySpreadsheetEdits applies changes that spreadsheets make to a file and that must
// not change its meaning.
func applySpreadsheetEdits(t *rapid.T, cells [][]string) []byte {
	order := rapid.Permutation(slices.Collect(integersBelow(len(columns)+1))).Draw(t, "order")
	for i, record := range cells {
		record = append(record, []string{"remarks", "zie 1,5"}[min(i, 1)])
		moved := make([]string, len(record))
		for to, from := range order {
			moved[to] = record[from]
			if rapid.Bool().Draw(t, "pad") {
				moved[to] = "\u00a0 " + norm.NFD.String(strings.ReplaceAll(moved[to], " ", "\u00a0")) + "\u202f"
			}
			if i == 0 && rapid.Bool().Draw(t, "capitals") {
				moved[to] = strings.ToUpper(moved[to])
			}
		}
		cells[i] = moved
	}
	var b bytes.Buffer
	if rapid.Bool().Draw(t, "mark") {
		b.WriteString("\ufeff")
	}
	comma := rapid.SampledFrom(delimiters).Draw(t, "delimiter")
	if rapid.Bool().Draw(t, "sep") {
		b.WriteString("sep=" + string(comma) + "\n")
	}
	w := csv.NewWriter(&b)
	w.Comma = comma
	w.UseCRLF = rapid.Bool().Draw(t, "crlf")
	if err := w.WriteAll(cells); err != nil {
		t.Fatal(err)
	}
	for range rapid.IntRange(0, 3).Draw(t, "blank") {
		b.WriteString(strings.Repeat(string(comma), len(columns)) + "\n\n")
	}
	return b.Bytes()
}

func integersBelow(n int) func(func(int) bool) {
	return func(yield func(int) bool) {
		for i := 0; i < n && yield(i); i++ {
		}
	}
}

func sheetsEqual(a, b Sheet) bool {
	return slices.Equal(a.Branches, b.Branches) && slices.Equal(a.Workloads, b.Workloads)
}

// TestParseAcceptsSpreadsheetEdits parses canonical sheets after edits as a spreadsheet
// makes them.
func TestParseAcceptsSpreadsheetEdits(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		want := drawSheet(t)
		data := applySpreadsheetEdits(t, formatRecords(t, want))
		got, report := Parse(data, CharsetUnicode)
		if err := report.Err(); err != nil || !sheetsEqual(got, want) {
			t.Fatalf("%v\ngot %+v\nwant %+v\n%s", err, got, want, data)
		}
	})
}

// invalidCells holds values that must be rejected, by column.
var invalidCells = map[Column][]string{
	ColumnBranch:            {"", "#REF!", "a/b", "a\nb", strings.Repeat("x", MaxNameBytes+1)},
	ColumnWorkload:          {"", "a~b"},
	ColumnKind:              {"", "cron"},
	ColumnShare:             {"", "0", "-1", "1.5", "1000001"},
	ColumnPriority:          {"asap"},
	ColumnDeadline:          {"08:00", "90", "2 weeks", "1.500h", "400d", "h", "0.1ms"},
	ColumnTasks:             {"0", "x", "1e3", "100001"},
	ColumnCPUs:              {"1.500", "2,0,0", "4 cores", "-1", "99999"},
	ColumnMemory:            {"1.024", "4 XB", "NaN", "65TiB"},
	ColumnAccelerators:      {"0,5", "1025"},
	ColumnRuntime:           {"soon"},
	ColumnQuotaAccelerators: {"all"},
}

// TestProblemNamesRowAndColumn makes one cell invalid and expects a problem that names
// its row and column.
func TestProblemNamesRowAndColumn(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		cells := formatRecords(t, drawSheet(t))
		line := rapid.IntRange(1, len(cells)-1).Draw(t, "row")
		at := rapid.IntRange(0, len(columns)-1).Draw(t, "column")
		invalid, ok := invalidCells[columns[at]]
		if !ok {
			t.Skip("any text is allowed")
		}
		cells[line][at] = rapid.SampledFrom(invalid).Draw(t, "cell")
		var b bytes.Buffer
		w := csv.NewWriter(&b)
		if err := w.WriteAll(cells); err != nil {
			t.Fatal(err)
		}
		got, report := Parse(b.Bytes(), CharsetUnicode)
		found := slices.ContainsFunc(report.Problems, func(p Problem) bool { return p.Row == line+1 && p.Column == columns[at] })
		if !found || len(got.Workloads) > 0 {
			t.Fatalf("row %d, column %s, %q: reported %v", line+1, columns[at], cells[line][at], report.Problems)
		}
	})
}

// TestDiffTransformsOldSheetIntoNew applies a diff to the old sheet's cells and expects
// the cells of the new sheet.
func TestDiffTransformsOldSheetIntoNew(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		from, to := drawSheet(t), drawSheet(t)
		applied, want := cellsByKey(from), cellsByKey(to)
		for _, c := range Diff(from, to) {
			key := workloadKey{c.Branch, c.Workload}
			switch c.Kind {
			case Removed:
				delete(applied, key)
			case Added:
				applied[key] = want[key]
			}
			for _, cell := range c.Cells {
				if applied[key][cell.Column] != cell.Old {
					t.Fatalf("%s: old value is %q", c, applied[key][cell.Column])
				}
				applied[key][cell.Column] = cell.New
			}
		}
		for key, cells := range want {
			for column, text := range cells {
				if applied[key][column] != text {
					t.Fatalf("%v, column %s: got %q, want %q", key, column, applied[key][column], text)
				}
			}
		}
		if len(applied) != len(want) || len(Diff(to, to)) != 0 {
			t.Fatalf("got %d rows, want %d; diff with itself %v", len(applied), len(want), Diff(to, to))
		}
	})
}

// cellsByKey returns the sheet's cells by row; a branch has an empty workload in its key.
func cellsByKey(s Sheet) map[workloadKey]map[Column]string {
	cells := map[workloadKey]map[Column]string{}
	for _, b := range s.Branches {
		cells[workloadKey{branch: b.ID}] = formatCells(model.Workload{Branch: b.ID}, b)
	}
	for _, w := range s.Workloads {
		cells[keyOf(w)] = formatCells(w, model.Branch{})
	}
	return cells
}

func TestCrossCellRules(t *testing.T) {
	const header = "branch,workload,kind,share,cpus,tasks,service\n"
	cases := map[string]Column{
		"a,x,batch,1,1,,\na,x,batch,1,1,,":    ColumnWorkload,
		"a,x,batch,1,1,,\na,y,batch,2,1,,":    ColumnShare,
		"a,w,batch,1,1,,\na,x,gang,1,1,1,":    ColumnTasks,
		"a,w,batch,1,1,,\na,x,interactive,1,": ColumnService,
		"a,w,batch,1,1,,\na,x,batch,1,1,,zal": ColumnService,
		"a,w,batch,1,1,,\na,x,batch,1,,,":     ColumnCPUs,
	}
	for rows, column := range cases {
		_, report := Parse([]byte(header+rows), CharsetUnicode)
		if len(report.Problems) != 1 || report.Problems[0].Row != 3 || report.Problems[0].Column != column {
			t.Errorf("%q: %v, want one problem in row 3, column %s", rows, report.Problems, column)
		}
	}
}

// TestParseExampleSheets parses the example sheets in UTF-8 and in one-byte encodings,
// and expects that a one-byte encoding is not detected without its name.
func TestParseExampleSheets(t *testing.T) {
	charsets := map[string]*charmap.Charmap{"aulaplan": charmap.Windows1251, "hoogvlucht": charmap.Windows1252}
	for name, set := range charsets {
		data, err := os.ReadFile("../../examples/" + name + ".csv")
		if err != nil {
			t.Fatal(err)
		}
		sheet, report := Parse(data, CharsetUnicode)
		if report.Err() != nil || len(report.Notices) > 0 {
			t.Errorf("%s: %v %v", name, report.Err(), report.Notices)
		}
		encoded, err := set.NewEncoder().Bytes(bytes.TrimPrefix(data, []byte("\ufeff")))
		if err != nil {
			t.Fatal(err)
		}
		if _, report := Parse(encoded, CharsetUnicode); report.Err() == nil {
			t.Errorf("%s: a file in a one-byte encoding was accepted without its name", name)
		}
		charset := map[*charmap.Charmap]Charset{charmap.Windows1251: CharsetWindows1251, charmap.Windows1252: CharsetWindows1252}[set]
		if again, report := Parse(encoded, charset); report.Err() != nil || !sheetsEqual(again, sheet) {
			t.Errorf("%s in %s: %v", name, charset, report.Err())
		}
	}
}

// FuzzParse expects that Parse does not panic, and that a valid sheet is unchanged
// after it was written in canonical form and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("branch;workload;kind;share;cpus\nа;б;batch;1;0,5\n"))
	f.Add([]byte("\ufeffBranch,Workload,Kind,Share,Memory\r\n\"x\"\"y\",z,service,3,\"1,5 GB\"\r\n,,,,\r\n"))
	f.Add([]byte("branch\tworkload\tkind\tshare\n\"open"))
	f.Add([]byte("\xff\xfeb\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sheet, report := Parse(data, CharsetUnicode)
		if report.Err() != nil {
			return
		}
		var b bytes.Buffer
		if err := Write(&b, sheet); err != nil {
			t.Fatal(err)
		}
		again, report := Parse(b.Bytes(), CharsetUnicode)
		if report.Err() != nil || !sheetsEqual(again, sheet) {
			t.Fatalf("%v\n%q\n%s", report.Err(), data, b.Bytes())
		}
	})
}

// BenchmarkParse parses a sheet of 260 branches with 10 rows each.
func BenchmarkParse(b *testing.B) {
	var s Sheet
	for i := range 260 {
		branch := model.Branch{ID: model.BranchID(fmt.Sprintf("Висше училище %d", i)), Share: 3}
		s.Branches = append(s.Branches, branch)
		for row := range 10 {
			s.Workloads = append(s.Workloads, model.Workload{Branch: branch.ID, ID: model.WorkloadID(fmt.Sprint("rebuild-", row)), Kind: model.KindBatch,
				Share: 3, Tasks: 4, Size: model.Resources{MilliCPU: 500, MemoryMiB: 1024}, Deadline: time.Hour})
		}
	}
	var data bytes.Buffer
	if err := Write(&data, s); err != nil {
		b.Fatal(err)
	}
	for range b.N {
		if _, report := Parse(data.Bytes(), CharsetUnicode); report.Err() != nil {
			b.Fatal(report.Err())
		}
	}
}

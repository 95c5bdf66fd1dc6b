package sheet

import (
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"golang.org/x/text/unicode/norm"

	"filbertcross/internal/model"
)

// Limits of the cells' values.
const (
	MaxNameBytes    = 128
	MaxShare        = 1_000_000
	MaxTasks        = 100_000
	MaxDuration     = 366 * 24 * time.Hour
	maxMilliCPU     = 4096 * 1000 // of one task
	maxMemoryMiB    = 64 << 20    // 64 TiB, of one task
	maxAccelerators = 1024        // of one task
	maxQuotaTasks   = 100_000     // a quota's limits are those of one task multiplied by it
	bytesPerMiB     = 1 << 20
)

// normalizeText makes equal names from different machines and spreadsheets compare
// equal: it trims, replaces every kind of space by a plain space, removes invisible
// characters and composes accents (NFC).
func normalizeText(cell string) string {
	cleaned := strings.Map(func(r rune) rune {
		switch {
		case r == '\u200b' || r == '\u200e' || r == '\u200f' || r == '\ufeff' || r == '\u00ad':
			return -1
		case unicode.Is(unicode.Zs, r):
			return ' '
		default:
			return r
		}
	}, cell)
	return norm.NFC.String(strings.TrimSpace(cleaned))
}

// parseName checks the name of a branch, workload or service.
func parseName(text string) (string, error) {
	switch {
	case text == "":
		return "", errors.New("is empty")
	case len(text) > MaxNameBytes:
		return "", errors.Newf("is longer than %d bytes", MaxNameBytes)
	case strings.HasPrefix(text, "#"):
		return "", errors.New("looks like a spreadsheet error; names must not start with #")
	case strings.ContainsAny(text, "/~"):
		return "", errors.New("contains / or ~, which are reserved")
	case strings.ContainsFunc(text, unicode.IsControl) || strings.ContainsRune(text, unicode.ReplacementChar):
		return "", errors.New("contains a control character or one that could not be decoded")
	}
	return text, nil
}

func parseKind(text string) (model.Kind, error) {
	switch kind := model.Kind(strings.ToLower(text)); kind {
	case model.KindInteractive, model.KindService, model.KindBatch, model.KindGang:
		return kind, nil
	}
	return "", errors.New("is not one of interactive, service, batch, gang")
}

// tierNames holds the name of each priority, by tier.
var tierNames = [model.TierCount]string{"urgent", "high", "normal", "low"}

func parsePriority(text string) (model.Tier, error) {
	if text == "" {
		return model.TierNormal, nil
	}
	for tier, name := range tierNames {
		if strings.EqualFold(text, name) {
			return model.Tier(tier), nil
		}
	}
	return 0, errors.New("is not one of urgent, high, normal, low")
}

// parseCount parses a whole number between low and high.
func parseCount(text string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(strings.ReplaceAll(text, " ", ""), 10, 64)
	switch {
	case err != nil:
		return 0, errors.New("is not a whole number")
	case n < low || n > high:
		return 0, errors.Newf("is not between %d and %d", low, high)
	}
	return n, nil
}

// parseDecimal parses a number with a decimal point or comma. It rejects numbers in
// which the separator may be a thousands separator.
func parseDecimal(text string) (float64, error) {
	digits := strings.ReplaceAll(text, " ", "")
	whole, fraction, found := strings.Cut(strings.Replace(digits, ",", ".", 1), ".")
	switch {
	case strings.Trim(whole+fraction, "0123456789") != "" || whole == "" || (found && fraction == ""):
		return 0, errors.New("is not a number")
	case len(fraction) == 3 && len(whole) <= 3 && strings.Trim(whole, "0") != "":
		return 0, errors.New("may mean thousands or decimals; write it without a separator or with another number of decimals")
	}
	n, err := strconv.ParseFloat(whole+"."+fraction, 64)
	if err != nil {
		return 0, errors.New("is not a number")
	}
	return n, nil
}

// splitUnit splits text into a number and the unit behind it, in lower case.
func splitUnit(text string) (number, unit string) {
	i := strings.IndexFunc(text, unicode.IsLetter)
	if i < 0 {
		return text, ""
	}
	return strings.TrimSpace(text[:i]), strings.ToLower(strings.TrimSpace(text[i:]))
}

// parseCPUs parses cores, or thousandths of a core with the unit m, and rounds up to
// thousandths.
func parseCPUs(text string, high int64) (int64, error) {
	number, unit := splitUnit(text)
	n, err := parseDecimal(number)
	switch {
	case err != nil:
		return 0, err
	case unit == "":
		n *= 1000
	case unit != "m":
		return 0, errors.Newf("has the unknown unit %q; write cores, or thousandths as in 250m", unit)
	}
	return toBoundedInt(math.Ceil(n-1e-6), high, "thousandths of a core")
}

// memoryUnits maps each unit, in lower case, to its bytes.
var memoryUnits = map[string]float64{
	"": 1 << 30, "b": 1,
	"kb": 1e3, "mb": 1e6, "gb": 1e9, "tb": 1e12, "мб": 1e6, "гб": 1e9, "тб": 1e12,
	"ki": 1 << 10, "mi": 1 << 20, "gi": 1 << 30, "ti": 1 << 40,
	"kib": 1 << 10, "mib": 1 << 20, "gib": 1 << 30, "tib": 1 << 40,
}

// parseMemory parses an amount of memory and rounds it up to MiB.
func parseMemory(text string, high int64) (int64, error) {
	number, unit := splitUnit(text)
	size, ok := memoryUnits[unit]
	if !ok {
		return 0, errors.Newf("has the unknown unit %q; write MB, MiB, GB, GiB, TB or TiB", unit)
	}
	n, err := parseDecimal(number)
	if err != nil {
		return 0, err
	}
	return toBoundedInt(math.Ceil(n*size/bytesPerMiB-1e-6), high, "MiB")
}

func toBoundedInt(n float64, high int64, unit string) (int64, error) {
	if n > float64(high) {
		return 0, errors.Newf("is more than %d %s", high, unit)
	}
	return int64(max(n, 0)), nil
}

// durationUnits maps each unit, in lower case, to its duration.
var durationUnits = map[string]time.Duration{
	"ms": time.Millisecond, "s": time.Second, "sec": time.Second, "m": time.Minute, "min": time.Minute,
	"h": time.Hour, "d": 24 * time.Hour,
}

// parseDuration parses numbers with units, as in 90m, 1h30m, 2,5 h or 3d. An empty text
// and 0 mean no duration.
func parseDuration(text string) (time.Duration, error) {
	if text == "" || text == "0" {
		return 0, nil
	}
	if strings.Contains(text, ":") {
		return 0, errors.New("is a time of the day or ambiguous; write a duration from submission, as in 90m or 2h")
	}
	var total float64
	for rest := text; rest != ""; {
		i := strings.IndexFunc(rest, unicode.IsLetter)
		if i <= 0 {
			return 0, errors.New("is not a duration with units, as in 90m or 2h")
		}
		n, err := parseDecimal(rest[:i])
		if err != nil {
			return 0, err
		}
		rest = rest[i:]
		end := strings.IndexFunc(rest, func(r rune) bool { return !unicode.IsLetter(r) })
		if end < 0 {
			end = len(rest)
		}
		unit, ok := durationUnits[strings.ToLower(rest[:end])]
		if !ok {
			return 0, errors.Newf("has the unknown unit %q; write ms, s, m, h or d", rest[:end])
		}
		total += n * float64(unit)
		rest = strings.TrimSpace(rest[end:])
	}
	if total > float64(MaxDuration) {
		return 0, errors.Newf("is more than %v", MaxDuration)
	}
	rounded := time.Duration(total).Round(time.Millisecond)
	if rounded == 0 {
		return 0, errors.New("is shorter than 1 ms; leave the cell empty for none")
	}
	return rounded, nil
}

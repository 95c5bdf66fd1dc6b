package sheet

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"golang.org/x/text/encoding"
	"golang.org/x/text/encoding/charmap"
	"golang.org/x/text/encoding/unicode"
)

// Charset is the name of the file's character encoding.
type Charset string

// The encodings. CharsetUnicode is UTF-8, or UTF-16 with a byte-order mark. The
// one-byte encodings are never detected, because they cannot be distinguished from
// each other.
const (
	CharsetUnicode     Charset = ""
	CharsetWindows1251 Charset = "windows-1251" // Cyrillic
	CharsetWindows1252 Charset = "windows-1252" // Western European
)

// decodeText converts the file to UTF-8 without a byte-order mark.
func decodeText(data []byte, charset Charset) (string, error) {
	decoder, err := decoderFor(data, charset)
	if err != nil {
		return "", err
	}
	if decoder != nil {
		data, err = decoder.Bytes(data)
		if err != nil {
			return "", errors.Wrapf(err, "cannot be decoded")
		}
	}
	if !utf8.Valid(data) {
		return "", errors.New("is not UTF-8; export it as \"CSV UTF-8\" or name its character set (windows-1251, windows-1252)")
	}
	return strings.TrimPrefix(string(data), "\ufeff"), nil
}

// decoderFor returns the decoder for the file, or nil if the file must be UTF-8.
func decoderFor(data []byte, charset Charset) (*encoding.Decoder, error) {
	switch charset {
	case CharsetWindows1251:
		return charmap.Windows1251.NewDecoder(), nil
	case CharsetWindows1252:
		return charmap.Windows1252.NewDecoder(), nil
	case CharsetUnicode:
	default:
		return nil, errors.Newf("has the unknown character set %q", charset)
	}
	if bytes.HasPrefix(data, []byte{0xff, 0xfe}) || bytes.HasPrefix(data, []byte{0xfe, 0xff}) {
		return unicode.UTF16(unicode.LittleEndian, unicode.ExpectBOM).NewDecoder(), nil
	}
	return nil, nil
}

// delimiters holds the supported delimiters; the first one is the default.
var delimiters = []rune{';', ',', '\t'}

// skipSeparatorLine removes the line such as "sep=;" that spreadsheets write before
// the header.
func skipSeparatorLine(text string) (rest string, skipped bool) {
	first, rest, _ := strings.Cut(text, "\n")
	if !strings.HasPrefix(strings.ToLower(first), "sep=") {
		return text, false
	}
	return rest, true
}

// detectDelimiter returns the delimiter with which most columns are found in the
// header.
func detectDelimiter(text string) rune {
	header, _, _ := strings.Cut(strings.TrimLeft(text, "\r\n"), "\n")
	best, most := delimiters[0], 0
	for _, d := range delimiters {
		found := 0
		for _, cell := range strings.Split(header, string(d)) {
			if _, ok := findColumn(strings.Trim(strings.TrimSpace(cell), `"`)); ok {
				found++
			}
		}
		if found > most {
			best, most = d, found
		}
	}
	return best
}

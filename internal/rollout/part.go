package rollout

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/sheet"
)

// partGroups is the number of groups, and so the maximum number of parts, over which the
// branches are distributed. It bounds both the size of the head and the bytes written for
// one changed row.
const partGroups = 64

// hashBytes is the length of a part's hash.
const hashBytes = 16

// errPartHashMismatch means that a part's content does not match the hash in its reference.
var errPartHashMismatch = errors.New("rollout: part does not match its hash")

// part contains the branches of one group and their workloads, in the sheet's order.
type part struct {
	Branches  []model.Branch   `cbor:"1,keyasint"`
	Workloads []model.Workload `cbor:"2,keyasint"`
}

// encodedPart is a part in CBOR.
type encodedPart []byte

func (c encodedPart) hash() string {
	sum := sha256.Sum256(c)
	return hex.EncodeToString(sum[:hashBytes])
}

func groupOf(b model.BranchID) int { return int(xxhash.Sum64String(string(b)) % partGroups) }

// splitSheet returns the encoded parts of a sheet by group, without empty groups. It
// fails if a part exceeds the store's value size.
func splitSheet(s sheet.Sheet) (map[int]encodedPart, error) {
	parts := map[int]*part{}
	partOf := func(b model.BranchID) *part {
		g := groupOf(b)
		if parts[g] == nil {
			parts[g] = &part{}
		}
		return parts[g]
	}
	for _, b := range s.Branches {
		p := partOf(b.ID)
		p.Branches = append(p.Branches, b)
	}
	for _, w := range s.Workloads {
		p := partOf(w.Branch)
		p.Workloads = append(p.Workloads, w)
	}
	contents := make(map[int]encodedPart, len(parts))
	for g, p := range parts {
		contents[g] = encode(p)
		if len(contents[g]) > platform.MaxValueBytes {
			return nil, errors.Newf("rollout: the rows of branch %q and its group take %d bytes, more than the store's %d",
				p.Branches[0].ID, len(contents[g]), platform.MaxValueBytes)
		}
	}
	return contents, nil
}

// joinParts returns the sheet that consists of the parts.
func joinParts(contents []encodedPart) (sheet.Sheet, error) {
	var s sheet.Sheet
	for _, c := range contents {
		var p part
		if err := cbor.Unmarshal(c, &p); err != nil {
			return sheet.Sheet{}, errors.Wrap(err, "rollout: decode part")
		}
		s.Branches = append(s.Branches, p.Branches...)
		s.Workloads = append(s.Workloads, p.Workloads...)
	}
	s.Sort()
	return s, nil
}

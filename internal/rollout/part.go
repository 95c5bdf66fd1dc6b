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

// groups is the number of parts that branches are spread over. It bounds both the
// size of the head and what one changed row costs.
const partGroups = 64

// hashBytes is the length of a content hash.
const hashBytes = 16

// errCorrupt says that a part's content is not what its name says.
var errPartHashMismatch = errors.New("rollout: part does not match its hash")

// part is the branches of one group with their workloads, in the sheet's order.
type part struct {
	Branches  []model.Branch   `cbor:"1,keyasint"`
	Workloads []model.Workload `cbor:"2,keyasint"`
}

// content is an encoded part.
type encodedPart []byte

func (c encodedPart) hash() string {
	sum := sha256.Sum256(c)
	return hex.EncodeToString(sum[:hashBytes])
}

func groupOf(b model.BranchID) int { return int(xxhash.Sum64String(string(b)) % partGroups) }

// split divides a sheet into the contents of its groups; empty groups are absent.
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

// join puts the parts together into the sheet they were split from.
func joinParts(contents []encodedPart) (sheet.Sheet, error) {
	var s sheet.Sheet
	for _, c := range contents {
		var p part
		if err := cbor.Unmarshal(c, &p); err != nil {
			return sheet.Sheet{}, errors.Wrap(err, "rollout: part")
		}
		s.Branches = append(s.Branches, p.Branches...)
		s.Workloads = append(s.Workloads, p.Workloads...)
	}
	s.Sort()
	return s, nil
}

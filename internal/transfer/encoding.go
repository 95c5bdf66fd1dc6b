package transfer

import (
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Limits of documents and encodings.
const (
	maxDocumentBytes = 64 << 20 // limits the memory that a corrupt encoding can make a receiver allocate
	windowBytes      = 8 << 20  // spans the base and the document, so that unchanged parts are found in the base
	baseDictionaryID = 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// encode compresses a document with the base as the dictionary; a nil base is no dictionary.
func encode(document, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(baseDictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "transfer: encoder")
	}
	defer encoder.Close()
	return encoder.EncodeAll(document, nil), nil
}

// decode reverses encode. The encoding contains a checksum of the document, so that a wrong base is
// an error.
func decode(encoding, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes)}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(baseDictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "transfer: decoder")
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(encoding, nil)
	return document, errors.Wrap(err, "transfer: decode")
}

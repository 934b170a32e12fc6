package rpc

import (
	"net/http"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	zstdCoding      = "zstd"
	minCompressSize = 1 << 10 // bytes; smaller bodies are sent uncompressed
	compressWindow  = 256 << 10
	contentEncoding = "Content-Encoding"
)

// codec holds the encoder and the decoder. Each is created when it is first needed: most processes
// rarely compress, and the tables of the codec are large compared with their other memory.
var codec struct {
	sync.Mutex
	decoder *zstd.Decoder
	encoder *zstd.Encoder
}

// compress compresses a body of at least minCompressSize bytes and sets its Content-Encoding header.
func compress(header http.Header, body []byte) []byte {
	if len(body) < minCompressSize {
		return body
	}
	codec.Lock()
	defer codec.Unlock()
	if codec.encoder == nil {
		var err error
		codec.encoder, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(compressWindow), zstd.WithLowerEncoderMem(true))
		if err != nil {
			return body
		}
	}
	header.Set(contentEncoding, zstdCoding)
	return codec.encoder.EncodeAll(body, make([]byte, 0, len(body)/4))
}

// CompressedSize returns the size of a body in a call with compression, in bytes.
func CompressedSize(body []byte) int { return len(compress(http.Header{}, body)) }

// decompress reverses compress. It returns an error if the result has more than maxBytes bytes.
func decompress(header http.Header, body []byte, maxBytes int64) ([]byte, error) {
	switch header.Get(contentEncoding) {
	case "":
		return body, nil
	case zstdCoding:
	default:
		return nil, Error.New("content encoding %.20q is not supported", header.Get(contentEncoding))
	}
	codec.Lock()
	defer codec.Unlock()
	if codec.decoder == nil {
		var err error
		codec.decoder, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecoderMemory))
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	text, err := codec.decoder.DecodeAll(body, nil)
	if err == nil && int64(len(text)) > maxBytes {
		err = Error.New("the decompressed body has more than %d bytes", maxBytes)
	}
	return text, Error.Wrap(err)
}

const maxDecoderMemory = 64 << 20

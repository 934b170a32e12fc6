package rpc

import (
	"net/http"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	coding    = "zstd"
	packFrom  = 1 << 10 // bytes; what is smaller goes as it is
	packSpan  = 256 << 10
	codingsOf = "Content-Encoding"
)

// The packer is made when it is first needed: most processes pack now and then only, and
// its tables are large beside all else they hold.
var packer struct {
	sync.Mutex
	in  *zstd.Decoder
	out *zstd.Encoder
}

// pack compresses a body that is worth it, and says so in the head.
func pack(head http.Header, body []byte) []byte {
	if len(body) < packFrom {
		return body
	}
	packer.Lock()
	defer packer.Unlock()
	if packer.out == nil {
		var err error
		packer.out, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(packSpan), zstd.WithLowerEncoderMem(true))
		if err != nil {
			return body
		}
	}
	head.Set(codingsOf, coding)
	return packer.out.EncodeAll(body, make([]byte, 0, len(body)/4))
}

// CompressedSize is how many bytes a body takes where calls are packed.
func CompressedSize(body []byte) int { return len(pack(http.Header{}, body)) }

// unpack undoes it; what comes out is at most as large as a body may be.
func unpack(head http.Header, body []byte, most int64) ([]byte, error) {
	switch head.Get(codingsOf) {
	case "":
		return body, nil
	case coding:
	default:
		return nil, Error.New("coding %.20q is not known", head.Get(codingsOf))
	}
	packer.Lock()
	defer packer.Unlock()
	if packer.in == nil {
		var err error
		packer.in, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(mostUnpacked))
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	text, err := packer.in.DecodeAll(body, nil)
	if err == nil && int64(len(text)) > most {
		err = Error.New("more than %d bytes", most)
	}
	return text, Error.Wrap(err)
}

const mostUnpacked = 64 << 20

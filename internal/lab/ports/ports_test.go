package ports

import (
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFreeRange(t *testing.T) {
	Convey("A range of ports is free and below the ports of outgoing connections", t, func() {
		const count = 10
		first, err := FreeRange(count)
		So(err, ShouldBeNil)
		So(first+count, ShouldBeLessThanOrEqualTo, kernelRangeBegin())
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			So(err, ShouldBeNil)
			defer listener.Close()
		}
		So(free(first, count), ShouldBeFalse)
	})
}

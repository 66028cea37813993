package limitstest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/platform"
)

// TestChunkedBodiesInLargePiecesThatStopShort guards against bodies that are held without a bound
// while their ends don't come.
func TestChunkedBodiesInLargePiecesThatStopShort(t *testing.T) {
	i := startInstance(t, respondShort)
	body := chunks(maxBodyBytes-missingBytes, pieceBytes)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		return writeAll(to, head("/order/", n, "Transfer-Encoding: chunked"), "\r\n", body)
	})
	i.checkHolds(t)
}

// TestChunkedBodiesInPiecesOfOneByteThatStopShort guards against bodies whose many small chunks
// take more memory than their bytes.
func TestChunkedBodiesInPiecesOfOneByteThatStopShort(t *testing.T) {
	i := startInstance(t, respondShort)
	body := chunks(maxBodyBytes-missingBytes, 1)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		return writeAll(to, head("/order/", n, "Transfer-Encoding: chunked"), "\r\n", body)
	})
	i.checkHolds(t)
}

// TestAnnouncedBodiesThatStopShort guards against memory that is taken for the announced length of
// bodies that don't come whole.
func TestAnnouncedBodiesThatStopShort(t *testing.T) {
	i := startInstance(t, respondShort)
	body := strings.Repeat("x", maxBodyBytes-missingBytes)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		return writeAll(to, head("/order/", n, fmt.Sprint("Content-Length: ", maxBodyBytes)), "\r\n", body)
	})
	i.checkHolds(t)
}

// TestAnnouncedBodiesFarOverTheLimit guards against bodies that are read on although their
// announced length is over the limit.
func TestAnnouncedBodiesFarOverTheLimit(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		if err := writeAll(to, head("/order/", n, fmt.Sprint("Content-Length: ", 8*maxBodyBytes)), "\r\n"); err != nil {
			return err
		}
		return repeat(to, "x", 8*maxBodyBytes)
	})
	i.checkHolds(t)
}

// TestChunkedBodiesFarOverTheLimit guards against bodies that are held up to the limit, all at the
// same time, before they are refused.
func TestChunkedBodiesFarOverTheLimit(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		if err := writeAll(to, head("/order/", n, "Transfer-Encoding: chunked"), "\r\n"); err != nil {
			return err
		}
		return repeat(to, chunks(pieceBytes, pieceBytes), 8*maxBodyBytes)
	})
	i.checkHolds(t)
}

// TestHeadsOfSmallFieldsWithoutEnd guards against heads whose many small fields take a multiple of
// their bytes.
func TestHeadsOfSmallFieldsWithoutEnd(t *testing.T) {
	i := startInstance(t, respondShort)
	var fields strings.Builder
	for n := range endlessBytes / 8 {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	i.play(t, crowdSize, func(to io.Writer, n int) error { return writeAll(to, head("/order/", n), fields.String()) })
	i.checkHolds(t)
}

// TestHeadsOfOneLineWithoutEnd guards against a line of a head that is held without a bound.
func TestHeadsOfOneLineWithoutEnd(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		if err := writeAll(to, head("/order/", n), "X-Long: "); err != nil {
			return err
		}
		return repeat(to, "x", endlessBytes)
	})
	i.checkHolds(t)
}

// TestHeadsJustOverTheLimitThatStayOpen guards against heads over the operator's limit that stop
// short and are kept.
func TestHeadsJustOverTheLimitThatStayOpen(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		return writeAll(to, head("/order/", n), strings.Repeat("a:\r\n", 12*maxHeaderBytes/4))
	})
	i.checkHolds(t)
}

// TestEmptyLinesWithoutEnd guards against empty lines before a request that are read without end.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, crowdSize, func(to io.Writer, _ int) error { return repeat(to, "\r\n", endlessBytes) })
	i.checkHolds(t)
}

// TestChunkExtensionsAndTrailersWithoutEnd guards against the parts of a chunked body that don't
// count as its bytes.
func TestChunkExtensionsAndTrailersWithoutEnd(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		if err := writeAll(to, head("/order/", n, "Transfer-Encoding: chunked"), "\r\n1"); err != nil {
			return err
		}
		if n%2 == 0 {
			return repeat(to, ";extension=x", endlessBytes)
		}
		if err := writeAll(to, "\r\nx\r\n0\r\n"); err != nil {
			return err
		}
		return repeat(to, "a:\r\n", endlessBytes)
	})
	i.checkHolds(t)
}

// TestBodiesOfRefusedRequests guards against what is read of the bodies of requests that are
// refused because of their heads.
func TestBodiesOfRefusedRequests(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		refused := strings.Replace(head("/order/", n, "Transfer-Encoding: chunked"), "key-of-crowd", "no-key", 1)
		if n%2 == 0 {
			refused = head("/no-route/", n, "Transfer-Encoding: chunked")
		}
		if err := writeAll(to, refused, "\r\n"); err != nil {
			return err
		}
		return repeat(to, chunks(pieceBytes, pieceBytes), endlessBytes)
	})
	i.checkHolds(t)
}

// TestCallersThatDontReadTheirResponses guards against responses that are held for callers that
// don't read them.
func TestCallersThatDontReadTheirResponses(t *testing.T) {
	response := strings.Repeat("x", 3*maxBodyBytes)
	i := startInstance(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get(platform.HeaderRequestID), "ordinary") {
			respondShort(w, r)
			return
		}
		_, _ = io.WriteString(w, response)
	})
	i.play(t, crowdSize, func(to io.Writer, n int) error {
		return writeAll(to, head("/order/", n, "Content-Length: 1"), "\r\nx")
	})
	i.checkHolds(t)
}

// TestCallersThatDontReadSmallResponses guards against responses below any threshold of size that
// together take more memory than the process has.
func TestCallersThatDontReadSmallResponses(t *testing.T) {
	response := strings.Repeat("x", 60<<10)
	i := startInstance(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, response) })
	i.play(t, 3*crowdSize, func(to io.Writer, n int) error {
		for k := range 200 {
			if err := writeAll(to, head("/order/", n*1000+k, "Content-Length: 1"), "\r\nx"); err != nil {
				return err
			}
		}
		return nil
	})
	i.checkHolds(t)
}

// TestMoreConnectionsThanDescriptors guards against a crowd of connections that takes all
// descriptors of the process, so that it reaches neither servers nor the store.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, 2*maxDescriptors, func(to io.Writer, n int) error { return writeAll(to, "POST /order/1 HTTP/1.1\r\n") })
	i.checkHolds(t)
}

// TestConnectionsThatSendNothing guards against a crowd of connections that send nothing and
// takes all descriptors of the process.
func TestConnectionsThatSendNothing(t *testing.T) {
	i := startInstance(t, respondShort)
	i.play(t, 2*maxDescriptors, func(io.Writer, int) error { return nil })
	i.checkHolds(t)
}

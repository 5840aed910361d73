package trials

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/starter"
)

// uploadSize is the size of an upload's body, in bytes.
const uploadSize = 12 << 20

// anonymousMemory returns the memory of a process that is neither its program nor shared, in bytes.
func anonymousMemory(p *starter.Process) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "RssAnon:")
	kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.SplitN(after, "kB", 2)[0]), 10, 64)
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// watchMemory returns a function that ends the watch and returns the most memory that a process has had.
func watchMemory(p *starter.Process) (stop func() int64) {
	var most atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			most.Store(max(most.Load(), anonymousMemory(p)))
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() int64 {
		cancel()
		group.Wait()
		return most.Load()
	}
}

// upload sends the head of an upload and its body, but for a number of bytes that are held back until the context ends. It
// returns the status of the answer, or zero if there was none.
func upload(ctx context.Context, address, id string, held int) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /once/%s HTTP/1.1\r\nHost: h.example\r\nX-Chervilrail-Attempt-Id: %s\r\n"+
		"Content-Length: %d\r\n\r\n", id, id, uploadSize)
	_, _ = c.Write(make([]byte, uploadSize-held)) // an error shows in the answer
	if held > 0 {
		<-ctx.Done()
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, err := io.ReadAll(io.LimitReader(c, int64(len("HTTP/1.1 200"))))
	if err != nil {
		return 0
	}
	status, err := strconv.Atoi(strings.TrimPrefix(string(answer), "HTTP/1.1 "))
	if err != nil {
		return 0
	}
	return status
}

// Guards against instances that are killed for their memory, with all their requests, by uploads that are allowed each but
// not together; and against sound uploads that are refused although few come at a time.
func TestUploadsTogetherStayInTheMemory(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 1, 4)
	plan := strings.Replace(speaker.Plan(2, 1, service), `"maxBodyBytes":1000000`, `"maxBodyBytes":67108864`, 1)
	is.Equal(f.operator.Put(t.Context(), plan), http.StatusOK)
	time.Sleep(time.Second)
	address := net.JoinHostPort(f.Entries[0].Address.String(), strconv.Itoa(starter.CallerPort))
	most := watchMemory(f.Entries[0])

	holding, release := context.WithTimeout(t.Context(), time.Second)
	defer release()
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() { upload(holding, address, fmt.Sprint("held-", i), 1) })
	}
	stop := f.load(2)
	group.Wait()
	f.check(t, stop())

	var served atomic.Int64
	for i := range 3 {
		group.Go(func() {
			for n := range 5 {
				if upload(t.Context(), address, fmt.Sprint("whole-", i, "-", n), 0) == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.Equal(served.Load(), int64(15))
	used := most()
	t.Logf("%d MB of %d", used>>20, starter.EntryMemory)
	is.True(used < starter.EntryMemory<<20)
	is.True(!f.Entries[0].Ended())
}

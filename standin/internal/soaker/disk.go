package soaker

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// syncInterval is the interval at which the disk is probed, slowSync the duration of a sync that is printed.
	syncInterval = 200 * time.Millisecond
	slowSync     = 500 * time.Millisecond
)

// watchDisk prints until ctx is done how long the disk took for a sync when it was slow: controllers wait for theirs, and
// their logs do not tell.
func (s *Soak) watchDisk(ctx context.Context) {
	file, err := os.Create(filepath.Join(s.Folder, "sync.probe"))
	if err != nil {
		s.checker.fail("probe of the disk: %v", err)
		return
	}
	defer func() { _ = file.Close() }()
	for ; ctx.Err() == nil; time.Sleep(syncInterval) {
		begun := time.Now()
		_, err := file.WriteAt([]byte("x"), 0)
		if err == nil {
			err = file.Sync()
		}
		if err != nil {
			s.checker.fail("probe of the disk: %v", err)
			return
		}
		if took := time.Since(begun); took > slowSync {
			s.Print(fmt.Sprintf("%s  a sync of the disk took %s", begun.Format(time.TimeOnly+".000"), took))
		}
	}
}

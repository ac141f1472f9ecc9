package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemBootOffset returns the time by which CLOCK_MONOTONIC lags behind CLOCK_BOOTTIME. CLOCK_BOOTTIME is read first, so that a pause
// between the two readings does not look like a suspension.
func systemBootOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

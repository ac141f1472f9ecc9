//go:build !linux

package steady

import "time"

// systemBootOffset returns 0, because the clocks of this system do not show suspensions.
func systemBootOffset() time.Duration { return 0 }

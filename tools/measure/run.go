package measure

import (
	"context"
	"fmt"
	"io"
)

// Run runs all measurements and reports progress to w.
func Run(ctx context.Context, w io.Writer) (*Report, error) {
	report := &Report{}
	for _, measure := range []func(context.Context) Series{
		tokenTime, sessionMemory, journalBytes, journalTime, journalMemory, placementTime, policyTime, configurationMemory,
	} {
		report.add(w, measure(ctx))
	}
	for _, measure := range []func(context.Context) ([]Series, error){
		changeReadBytes, claimWrites,
	} {
		list, err := measure(ctx)
		if err != nil {
			return nil, err
		}
		for _, s := range list {
			report.add(w, s)
		}
	}
	return report, ctx.Err()
}

func (r *Report) add(w io.Writer, s Series) {
	s.fit()
	r.Series = append(r.Series, s)
	fmt.Fprintf(w, "%-22s %12.4g + %10.4g for each of: %s (r2 %.3f): %s\n", s.Name, s.Intercept, s.Slope, s.X, s.R2, s.Y)
}

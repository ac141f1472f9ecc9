package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/pause"
)

const idleConnsPerHost = 512

// runner is one load in progress.
type runner struct {
	config       Config
	target       Target
	http         *http.Client
	recorder     *recorder
	rng          *rand.Rand
	openRequests chan struct{}
	requests     sync.WaitGroup
}

// Run sends the load and returns its result. It returns an error with CodeUsage if the load cannot be run or a fault cannot be injected.
func Run(ctx context.Context, config Config, target Target) (Result, error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	r := &runner{
		config:       config,
		target:       target,
		http:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost}},
		recorder:     newRecorder(),
		rng:          rand.New(rand.NewPCG(config.Seed, config.Seed)),
		openRequests: make(chan struct{}, config.MaxOpen),
	}
	defer r.http.CloseIdleConnections()
	before, counted := target.DecodedTokens(ctx)
	faults, stop := context.WithCancel(ctx)
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- r.injectFaults(faults) }()
	r.sendRequests(ctx)
	r.requests.Wait()
	stop()
	if err := <-faultsDone; err != nil {
		return Result{}, err
	}
	orders, ordersKnown := target.Orders(ctx)
	var decoded *int64
	if after, ok := target.DecodedTokens(ctx); ok && counted {
		after -= before
		decoded = &after
	}
	return r.recorder.finish(orders, ordersKnown, decoded), nil
}

// sendRequests starts requests as a Poisson process, independently of the answers.
func (r *runner) sendRequests(ctx context.Context) {
	start := time.Now()
	next := start
	for i := 0; ; i++ {
		next = next.Add(time.Duration(r.rng.ExpFloat64() / r.config.Rate * float64(time.Second)))
		if next.Sub(start) > r.config.Duration || !pause.For(ctx, time.Until(next)) {
			return
		}
		c := r.newCaller(i)
		select {
		case r.openRequests <- struct{}{}:
			r.recorder.countSent()
			r.requests.Go(func() {
				defer func() { <-r.openRequests }()
				c.run(ctx)
			})
		default:
			r.recorder.countNotSent()
		}
	}
}

// injectFaults injects the faults at their times.
func (r *runner) injectFaults(ctx context.Context) error {
	start := time.Now()
	for _, f := range r.config.Faults {
		if !pause.For(ctx, time.Until(start.Add(f.At))) {
			return nil
		}
		if err := r.target.InjectFault(ctx, f); err != nil && ctx.Err() == nil {
			return vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "fault %s", f)
		}
	}
	return nil
}

// pickKind returns a random kind, weighted by share.
func (r *runner) pickKind() Kind {
	total := 0.0
	for _, k := range r.config.Kinds {
		total += k.Share
	}
	at := r.rng.Float64() * total
	for _, k := range r.config.Kinds {
		if at -= k.Share; at < 0 {
			return k
		}
	}
	return r.config.Kinds[len(r.config.Kinds)-1]
}

func (r *recorder) countSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
}

func (r *recorder) countNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.NotSent++
}
